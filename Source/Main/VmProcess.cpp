#include "Main/VmProcess.h"

#include "Version/Yaml/VersionYaml.h"

#include <nlohmann/json.hpp>

#include <future>

namespace Sapphireladder {

namespace {

constexpr unsigned ioThreadCount = 2;
constexpr Duration tickInterval = std::chrono::milliseconds(100);

/**
 * The wall clock increases across restarts, and a VM has no disk for a counter. Membership corrects
 * a clock that was set back.
 */
std::uint64_t newIncarnation()
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(duration_cast<std::chrono::milliseconds>(time).count());
}

void addFleetStatus(const FleetStatus &status, nlohmann::json &object)
{
    object["why_not_ready"] = status.notReadyReason;
    object["isolated"] = status.isolated;
    object["store_reachable"] = status.storeReachable;
    object["incarnation"] = status.incarnation;
    object["heard_version"] = status.highestReportedVersion;
    object["older_versions"] = status.olderVersions;
    object["leaving_targets"] = status.leavingTargets;
    auto &members = object["members"] = nlohmann::json::array();
    for (const auto &it : status.members) {
        members.push_back({{"vm", it.vm.string()},
                           {"endpoint", it.endpoint.toString()},
                           {"zone", it.zone.string()},
                           {"incarnation", it.incarnation},
                           {"stopping", it.stopping}});
    }
}

AdminResponse errorResponse(unsigned status, const Error &error)
{
    return {status, "application/json", nlohmann::json({{"error", error.toString()}}).dump()};
}

} // namespace

Result<std::unique_ptr<VmProcess>> VmProcess::create(const Settings &settings, EventSink &events)
{
    std::unique_ptr<VmProcess> process(new VmProcess(settings, events));
    TRY(process->start());
    return process;
}

VmProcess::VmProcess(const Settings &settings, EventSink &events)
    : m_settings(settings)
    , m_events(events)
    , m_platformClient(settings.platformEndpoint, settings.storeTimeout, m_clock,
                       m_metrics.controlTraffic())
    , m_tableClient(m_platformClient)
    , m_objectClient(m_platformClient)
    , m_presetStore(m_tableClient, m_objectClient)
    , m_claimStore(m_tableClient)
    , m_memberStore(m_tableClient)
    , m_vmListClient(m_platformClient)
    , m_transport(m_clock, settings.maxResponseBytes)
    , m_ioThreadPool(ioThreadCount)
    , m_peerActions({m_settings, m_memberStore, m_vmListClient, m_ioThreadPool, m_control, events,
                     m_metrics.controlTraffic()})
    , m_state(m_settings, m_clock, RandomSource::fromSystem(), newIncarnation(), *this,
              m_peerActions, events, m_metrics)
{}

VmProcess::~VmProcess()
{
    m_listener.reset();
    m_admin.reset();
    m_peerActions.stop();
    m_ioThreadPool.stop();
    m_control.stop();
}

Result<> VmProcess::start()
{
    ListenerOptions options;
    options.endpoint = m_settings.callerEndpoint;
    options.trafficThreads = m_settings.trafficThreads;
    options.maxConnections = m_settings.maxConnections;
    options.limits.maxBodyBytes = m_settings.maxBodyBytes;
    TRY_ASSIGN(listener, CallerListener::create(options, *this));
    m_listener = std::move(listener);
    m_control.start(m_state, tickInterval);
    TRY(m_peerActions.start());
    // Last, since its handlers use everything above.
    TRY_ASSIGN(admin, AdminServer::create(m_settings.adminEndpoint, *this));
    m_admin = std::move(admin);
    m_events.record(EventId::ProcessStarted, {{"vm", m_settings.vm.string()},
                                              {"zone", m_settings.zone.string()},
                                              {"callers", m_settings.callerEndpoint.toString()}});
    return success();
}

void VmProcess::stop()
{
    m_events.record(EventId::ShutdownStep, {{"step", "readiness-off"}});
    // The control thread also notifies the peers.
    m_control.post(StopRequested{});
    std::this_thread::sleep_for(m_settings.lameduck);
    m_events.record(EventId::ShutdownStep, {{"step", "close-connections"}});
    m_isStopping = true;
    m_events.record(EventId::ShutdownStep, {{"step", "finish-in-flight"}});
    m_listener->stop();
    m_events.record(EventId::ProcessStopped, {});
}

std::shared_ptr<const PresetSnapshot> VmProcess::preset() const
{
    const auto current = snapshot();
    return current ? current->preset : nullptr;
}

RequestOutcome VmProcess::serve(const RequestInfo &info, const ServicePolicy &policy,
                                std::span<const HeaderField> headers, std::string_view body)
{
    const auto current = snapshot();
    const auto it = current->services.find(info.service.view());
    // A switch after the call of preset() may have removed the service.
    if (it == current->services.end())
        return Refusal{RefusalReason::UnknownService};
    auto &service = *it->second;
    // Per thread, so that generating a claim id takes no lock.
    thread_local auto claimIds = RandomSource::fromSystem();
    const ClaimDependencies claims{m_claimStore, claimIds, m_settings.vm};
    RequestExecutor executor(
            {service.gate, m_transport, service.budget, m_metrics, m_clock, &claims}, policy);
    return executor.run(info, headers, body);
}

void VmProcess::recordOutcome(const RequestOutcome &outcome, Duration latency)
{
    m_metrics.recordOutcome(outcome, latency);
    m_refusalLog.record(outcome);
}

void VmProcess::closeExpiredConnections()
{
    m_transport.closeExpiredConnections();
    m_platformClient.closeExpiredConnections();
}

AdminResponse VmProcess::ready()
{
    if (m_isReady)
        return {200, "text/plain", "ready\n"};
    return {503, "text/plain", "not ready\n"};
}

AdminResponse VmProcess::status()
{
    const auto current = preset();
    nlohmann::json object = {
            {"vm", m_settings.vm.string()},
            {"zone", m_settings.zone.string()},
            {"ready", m_isReady.load()},
            {"version", current ? current->version() : 0},
            {"preset", current ? current->preset().name.string() : ""},
            {"digest", current ? current->digest().string() : ""},
            {"connections", m_listener->connectionCount()},
    };
    if (const auto fleet = std::atomic_load(&m_fleetStatus))
        addFleetStatus(*fleet, object);
    return {200, "application/json", object.dump()};
}

AdminResponse VmProcess::metrics()
{
    return {200, "text/plain; version=0.0.4", m_metrics.toText()};
}

AdminResponse VmProcess::listPresets()
{
    const auto names = m_presetStore.listPresets();
    if (!names)
        return errorResponse(503, names.error());
    auto array = nlohmann::json::array();
    for (const auto &it : names.value())
        array.push_back(it.string());
    return {200, "application/json", array.dump()};
}

AdminResponse VmProcess::showPreset(std::string_view name)
{
    const auto digest = m_presetStore.readDigest(PresetName(name));
    if (!digest)
        return errorResponse(404, digest.error());
    auto text = m_presetStore.readText(digest.value());
    if (!text)
        return errorResponse(503, text.error());
    return {200, "application/yaml", std::move(text.value())};
}

AdminResponse VmProcess::putPreset(std::string_view name, std::string_view text)
{
    YamlErrors errors{std::string(name)};
    const auto preset = Sapphireladder::readPreset(text, errors);
    if (!preset)
        return errorResponse(422, errors.list().front());
    const auto digest = digestOf(text);
    const auto put = m_presetStore.putPreset(PresetName(name), digest, text);
    if (!put)
        return errorResponse(503, put.error());
    return {200, "application/json", nlohmann::json({{"digest", digest.string()}}).dump()};
}

AdminResponse VmProcess::activePreset()
{
    const auto row = m_presetStore.readActivePreset();
    if (!row)
        return errorResponse(503, row.error());
    return {200, "application/json", encodeActivePreset(row.value().activePreset)};
}

AdminResponse VmProcess::switchPreset(std::string_view request)
{
    auto decoded = decodeSwitchRequest(request);
    if (!decoded)
        return errorResponse(400, decoded.error());
    auto promise = std::make_shared<std::promise<SwitchResult>>();
    auto future = promise->get_future();
    const auto reply = [promise](const SwitchResult &result) { promise->set_value(result); };
    if (!m_control.post(SwitchCommand{std::move(decoded.value()), reply}))
        return errorResponse(503, makeError(ProcessError::MailboxFull));
    // A switch makes at most five store calls, each with its own timeout; the sixth is a margin.
    constexpr int waitInStoreTimeouts = 6;
    SwitchResult result;
    if (future.wait_for(m_settings.storeTimeout * waitInStoreTimeouts) == std::future_status::ready)
        result = future.get();
    return {200, "application/json", encodeSwitchResult(result)};
}

void VmProcess::readActivePreset()
{
    m_ioThreadPool.post(
            [this] { m_control.post(ActivePresetRead{m_presetStore.readActivePreset()}); });
}

void VmProcess::readPreset(const ActivePreset &activePreset)
{
    m_ioThreadPool.post([this, activePreset] {
        m_control.post(parsePresetText(activePreset, m_presetStore.readText(activePreset.digest)));
    });
}

void VmProcess::runSwitch(const SwitchCommand &command)
{
    const bool isQueued = m_ioThreadPool.post([this, command] {
        const auto result = Sapphireladder::switchPreset(command.request, m_presetStore);
        command.reply(result);
        m_control.post(SwitchFinished{result});
    });
    if (!isQueued)
        command.reply({SwitchStatus::Refused, {}, make_error_code(ProcessError::MailboxFull)});
}

void VmProcess::publish(std::shared_ptr<const FleetSnapshot> snapshot)
{
    std::atomic_store(&m_snapshot, std::move(snapshot));
}

void VmProcess::publishStatus(std::shared_ptr<const FleetStatus> status)
{
    std::atomic_store(&m_fleetStatus, std::move(status));
}

void VmProcess::setReady(bool ready, std::string_view)
{
    m_isReady = ready;
}

} // namespace Sapphireladder
