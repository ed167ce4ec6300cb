#include "Process/Process.h"

namespace Sapphireladder {

// One row for each alternative of ControlMessage, in its order.
const ControlState::Handler ControlState::handlers[] = {
        &ControlState::forward<&ControlState::onTick, Tick>,
        &ControlState::forward<&ControlState::onInForceRead, InForceRead>,
        &ControlState::forward<&ControlState::onPresetRead, PresetRead>,
        &ControlState::forward<&ControlState::onSwitchCommand, SwitchCommand>,
        &ControlState::forward<&ControlState::onSwitchFinished, SwitchFinished>,
        &ControlState::forward<&ControlState::onStopRequested, StopRequested>,
};

ControlState::ControlState(const Settings &settings, const Clock &clock, RandomSource random,
                           ControlActions &actions, EventSink &events, Metrics &metrics)
    : m_settings(settings)
    , m_clock(clock)
    , m_random(random)
    , m_actions(actions)
    , m_events(events)
    , m_metrics(metrics)
    , m_supervisor(events)
{}

void ControlState::handle(const ControlMessage &message)
{
    (this->*handlers[message.index()])(message);
}

void ControlState::onTick(const Tick &)
{
    superviseTargets();
    const auto now = m_clock.now();
    if (now < m_nextPresetRead)
        return;
    // Jitter of 25 % keeps the VMs' reads of one row apart.
    const double factor = 0.75 + 0.5 * m_random.unit();
    m_nextPresetRead = now + duration_cast<Duration>(m_settings.presetReadInterval * factor);
    m_actions.readInForce();
}

void ControlState::onInForceRead(const InForceRead &message)
{
    if (!message.row)
        return;
    const auto &inForce = message.row.value().inForce;
    if (inForce.version > 0)
        considerVersion(inForce);
}

void ControlState::considerVersion(const InForce &inForce)
{
    switch (m_register.judge(inForce.version, inForce.digest)) {
    case VersionVerdict::Newer:
        if (m_fetching >= inForce.version)
            return;
        m_fetching = inForce.version;
        m_actions.readPreset(inForce);
        return;
    case VersionVerdict::Older:
        m_metrics.recordOlderVersion();
        m_events.record(EventId::PresetOlderIgnored,
                        {{"heard", std::to_string(inForce.version)},
                         {"applied", std::to_string(m_register.version())}});
        return;
    case VersionVerdict::Contradiction:
        m_events.record(EventId::PresetDigestMismatch,
                        {{"version", std::to_string(inForce.version)},
                         {"heard", inForce.digest.string()},
                         {"applied", m_register.current()->digest().string()}});
        return;
    case VersionVerdict::Same:
        return;
    }
}

void ControlState::onPresetRead(const PresetRead &message)
{
    if (m_fetching == message.inForce.version)
        m_fetching = 0;
    if (!message.snapshot) {
        m_events.record(EventId::PresetBodyUnavailable,
                        {{"version", std::to_string(message.inForce.version)},
                         {"error", message.snapshot.error().toString()}});
        return;
    }
    if (!m_register.apply(message.snapshot.value()))
        return;
    m_events.record(EventId::PresetApplied,
                    {{"version", std::to_string(m_register.version())},
                     {"preset", m_register.current()->preset().name.string()}});
    publishSnapshot();
    updateReadiness();
}

void ControlState::onSwitchCommand(const SwitchCommand &message)
{
    m_actions.runSwitch(message);
}

void ControlState::onSwitchFinished(const SwitchFinished &message)
{
    static constexpr EventId events[] = {
            EventId::PresetSwitchAccepted,
            EventId::PresetSwitchConflict,
            EventId::PresetSwitchRefused,
            EventId::PresetSwitchUnknown,
    };
    const auto &result = message.result;
    m_events.record(events[static_cast<std::size_t>(result.status)],
                    {{"version", std::to_string(result.inForce.version)},
                     {"preset", result.inForce.preset.string()},
                     {"operation", result.inForce.operation.string()},
                     {"reason", result.reason.message()}});
    if (result.inForce.version > 0)
        considerVersion(result.inForce);
}

void ControlState::onStopRequested(const StopRequested &)
{
    m_stopping = true;
    updateReadiness();
}

void ControlState::publishSnapshot()
{
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->preset = m_register.current();
    m_supervisor.setPreset(snapshot->preset->preset(), m_clock.now());
    m_supervisor.update(m_clock.now());
    for (const auto &it : snapshot->preset->preset().services) {
        auto &state = m_services[it.name];
        if (!state) {
            const auto seed = m_random.below(std::size_t(1) << 62U);
            state = std::make_shared<ServiceState>(m_settings.zone, m_clock, seed, it.retry,
                                                   m_observations);
        }
        state->budget.setPolicy(it.retry);
        state->gate.publish(viewOf(it));
        snapshot->services.emplace(it.name.view(), state);
    }
    m_actions.publish(std::move(snapshot));
}

std::shared_ptr<const ServiceView> ControlState::viewOf(const ServicePolicy &policy)
{
    auto view = std::make_shared<ServiceView>();
    view->preset = m_register.current();
    view->policy = &policy;
    view->targets = m_supervisor.views(policy);
    view->selector = findRoutingStrategy(policy.routing.strategy)->create();
    return view;
}

void ControlState::superviseTargets()
{
    for (const auto &it : m_observations->drain())
        m_supervisor.observe(it, m_clock.now());
    m_metrics.setDroppedObservations(m_observations->dropped());
    publishChangedViews();
}

void ControlState::publishChangedViews()
{
    for (const auto &it : m_supervisor.update(m_clock.now())) {
        const auto *policy = m_register.current()->findService(it.view());
        m_services.at(it)->gate.publish(viewOf(*policy));
    }
}

void ControlState::markLeaving(const ServiceName &service, const TargetId &target,
                               Incarnation incarnation)
{
    m_supervisor.markLeaving(service, target, incarnation);
    publishChangedViews();
}

void ControlState::markLive(const ServiceName &service, const TargetId &target,
                            Incarnation incarnation)
{
    m_supervisor.markLive(service, target, incarnation, m_clock.now());
    publishChangedViews();
}

void ControlState::updateReadiness()
{
    const bool ready = m_register.current() && !m_stopping;
    if (ready == m_ready)
        return;
    m_ready = ready;
    const std::string_view why = m_stopping ? "stopping" : "";
    m_actions.setReady(ready, why);
    m_events.record(ready ? EventId::ProcessReady : EventId::ProcessNotReady,
                    {{"why", std::string(why)}});
}

} // namespace Sapphireladder
