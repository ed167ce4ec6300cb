#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

// One row for each alternative of ControlMessage, in its order.
const ControlState::Handler ControlState::handlers[] = {
        &ControlState::forward<&ControlState::onTick, Tick>,
        &ControlState::forward<&ControlState::onInForceRead, InForceRead>,
        &ControlState::forward<&ControlState::onPresetRead, PresetRead>,
        &ControlState::forward<&ControlState::onSwitchCommand, SwitchCommand>,
        &ControlState::forward<&ControlState::onSwitchFinished, SwitchFinished>,
        &ControlState::forward<&ControlState::onStopRequested, StopRequested>,
        &ControlState::forward<&ControlState::onDigestHeard, DigestHeard>,
        &ControlState::forward<&ControlState::onPresetPushed, PresetPushed>,
        &ControlState::forward<&ControlState::onPresetAsked, PresetAsked>,
        &ControlState::forward<&ControlState::onMembersRead, MembersRead>,
        &ControlState::forward<&ControlState::onHeartbeatWritten, HeartbeatWritten>,
        &ControlState::forward<&ControlState::onVmListRead, VmListRead>,
};

ControlState::ControlState(const Settings &settings, const Clock &clock, RandomSource random,
                           std::uint64_t incarnation, ControlActions &actions,
                           PeerActions &peerActions, EventSink &events, Metrics &metrics)
    : m_settings(settings)
    , m_clock(clock)
    , m_random(random)
    , m_actions(actions)
    , m_events(events)
    , m_metrics(metrics)
    , m_fleet(settings, {settings.vm, incarnation, settings.peerEndpoint, settings.zone, 0, false},
              RandomSource(m_random.below(std::size_t(1) << 62U)), peerActions, events)
    , m_readiness(settings.isolationLimit, clock.now())
    , m_peerActions(peerActions)
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
    m_fleet.tick(applied(), now);
    fetchIfDue();
    updateReadiness();
    if (now >= m_nextStatus)
        publishStatus();
    if (now < m_nextPresetRead)
        return;
    // Jitter of 25 % keeps the VMs' reads of one row apart.
    const double factor = 0.75 + 0.5 * m_random.unit();
    m_nextPresetRead = now + duration_cast<Duration>(m_settings.presetReadInterval * factor);
    m_actions.readInForce();
}

void ControlState::onInForceRead(const InForceRead &message)
{
    noteStore(message.row.has_value());
    if (!message.row)
        return;
    m_readiness.rowRead();
    const auto &inForce = message.row.value().inForce;
    if (inForce.version > 0)
        considerVersion(inForce);
}

void ControlState::noteStore(bool reached)
{
    if (reached)
        m_readiness.storeHeard(m_clock.now());
    if (reached == m_storeReachable)
        return;
    m_storeReachable = reached;
    m_events.record(reached ? EventId::StoreRecovered : EventId::StoreUnavailable, {});
}

ActivePreset ControlState::applied() const
{
    ActivePreset inForce;
    if (const auto &current = m_register.current()) {
        inForce.version = current->version();
        inForce.digest = current->digest();
    }
    return inForce;
}

void ControlState::considerVersion(const ActivePreset &inForce, const std::optional<Endpoint> &from)
{
    switch (m_register.compare(inForce.version, inForce.digest)) {
    case VersionComparison::Newer:
        m_fetch.want(inForce, from);
        fetchIfDue();
        return;
    case VersionComparison::Older:
        m_metrics.recordOlderVersion();
        m_events.record(EventId::PresetOlderIgnored,
                        {{"heard", std::to_string(inForce.version)},
                         {"applied", std::to_string(m_register.version())}});
        return;
    case VersionComparison::DigestMismatch:
        m_events.record(EventId::PresetDigestMismatch,
                        {{"version", std::to_string(inForce.version)},
                         {"heard", inForce.digest.string()},
                         {"applied", m_register.current()->digest().string()}});
        return;
    case VersionComparison::Same:
        return;
    }
}

void ControlState::fetchIfDue()
{
    const auto now = m_clock.now();
    if (m_fetch.wanted() <= m_register.version())
        return;
    const auto step = m_fetch.next(m_register.version(), m_fleet.peers(now), now, m_random);
    if (!step)
        return;
    if (step->peer)
        m_peerActions.fetchPreset(*step->peer, step->inForce);
    else
        m_actions.readPreset(step->inForce);
}

void ControlState::onPresetRead(const PresetRead &message)
{
    m_fetch.ended(message.inForce.version, message.snapshot.has_value(), m_clock.now(), m_random);
    if (!message.snapshot) {
        const auto &error = message.snapshot.error();
        // A fault that the reader found stays, while a text that could not be read may come.
        const bool isInvalid = error.code.category()
                               == make_error_code(VersionError::InvalidYaml).category();
        m_events.record(isInvalid ? EventId::PresetBodyInvalid : EventId::PresetBodyUnavailable,
                        {{"version", std::to_string(message.inForce.version)},
                         {"error", error.toString()}});
        fetchIfDue();
        return;
    }
    const auto before = applied().digest;
    if (!m_register.apply(message.snapshot.value())) {
        fetchIfDue();
        return;
    }
    m_texts[m_register.current()->digest()] = message.text;
    std::erase_if(m_texts, [&](const auto &it) {
        return it.first != before && it.first != m_register.current()->digest();
    });
    m_events.record(EventId::PresetApplied,
                    {{"version", std::to_string(m_register.version())},
                     {"preset", m_register.current()->preset().name.string()}});
    publishSnapshot();
    updateReadiness();
    publishStatus();
    m_fleet.hurry();
    fetchIfDue();
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
                    {{"version", std::to_string(result.activePreset.version)},
                     {"preset", result.activePreset.preset.string()},
                     {"operation", result.activePreset.operation.string()},
                     {"reason", result.reason.message()}});
    // A repeated operation that a later switch has replaced names its version without a digest.
    if (result.activePreset.version == 0 || result.activePreset.digest.isEmpty())
        return;
    considerVersion(result.activePreset);
    if (result.status == SwitchStatus::Accepted)
        m_fleet.push(result.activePreset, m_clock.now());
}

void ControlState::onStopRequested(const StopRequested &)
{
    m_stopping = true;
    updateReadiness();
    m_fleet.stop(applied(), m_clock.now());
}

void ControlState::onDigestHeard(const DigestHeard &message)
{
    m_readiness.peerHeard(m_clock.now());
    if (m_fleet.hear(message.digest, m_clock.now())) {
        publishSnapshot();
        publishStatus();
    }
    const auto &inForce = message.digest.inForce;
    // A peer that is behind is ordinary during a switch; it learns from the answer.
    if (inForce.version > 0 && inForce.version >= m_register.version())
        considerVersion(inForce, message.digest.sender.endpoint);
    else if (inForce.version > 0)
        m_metrics.recordOlderVersion();
    if (message.reply)
        message.reply(m_fleet.answer(applied()));
}

void ControlState::onPresetPushed(const PresetPushed &message)
{
    m_readiness.peerHeard(m_clock.now());
    if (message.inForce.version > 0)
        considerVersion(message.inForce, message.from);
    message.reply(m_register.version());
}

void ControlState::onPresetAsked(const PresetAsked &message)
{
    const auto it = m_texts.find(message.digest);
    message.reply(it == m_texts.end() ? nullptr : it->second);
}

void ControlState::onMembersRead(const MembersRead &message)
{
    noteStore(message.members.has_value());
    if (message.members)
        m_fleet.hear(message.members.value(), m_clock.now());
}

void ControlState::onHeartbeatWritten(const HeartbeatWritten &message)
{
    noteStore(message.status == WriteStatus::Written);
}

void ControlState::onVmListRead(const VmListRead &message)
{
    if (!message.entries) {
        m_events.record(EventId::VmListUnavailable, {});
        return;
    }
    bool changed = false;
    for (const auto &it : message.entries.value()) {
        const auto target = targetAt(it.service, it.address);
        if (!target.isEmpty())
            changed = m_fleet.hear({it.service, target, it.incarnation, it.leaving}) || changed;
    }
    if (changed) {
        publishSnapshot();
        publishStatus();
    }
}

TargetId ControlState::targetAt(const ServiceName &service, const Endpoint &address) const
{
    const auto &current = m_register.current();
    const auto *policy = current ? current->findService(service.view()) : nullptr;
    if (!policy)
        return {};
    for (const auto &it : policy->targets) {
        if (it.endpoint == address)
            return it.id;
    }
    return {};
}

void ControlState::publishStatus()
{
    const auto now = m_clock.now();
    m_nextStatus = now + std::chrono::seconds(1);
    auto status = std::make_shared<FleetStatus>();
    status->ready = m_verdict.ready;
    status->why = m_verdict.why;
    status->isolated = m_readiness.isIsolated(now);
    status->storeReachable = m_storeReachable;
    status->incarnation = m_fleet.self().incarnation;
    status->heardVersion = std::max(m_fetch.wanted(), m_register.version());
    status->olderVersions = m_metrics.olderVersions();
    status->members = m_fleet.alive(now);
    status->leavingTargets = m_fleet.marks().leavingCount();
    m_actions.publishStatus(std::move(status));
}

void ControlState::publishSnapshot()
{
    if (!m_register.current())
        return;
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->preset = m_register.current();
    m_supervisor.setPreset(snapshot->preset->preset(), m_clock.now());
    takeMarks();
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
        const auto view = viewOf(*policy);
        m_services.at(it)->gate.publish(view);
        tellMarks(it, view->targets);
    }
}

void ControlState::takeMarks()
{
    for (const auto &service : m_register.current()->preset().services) {
        for (const auto &it : service.targets) {
            const auto mark = m_fleet.marks().find(service.name, it.id);
            if (mark && mark->leaving)
                m_supervisor.markLeaving(service.name, it.id, mark->incarnation);
            else if (mark)
                m_supervisor.markLive(service.name, it.id, mark->incarnation, m_clock.now());
        }
    }
}

void ControlState::tellMarks(const ServiceName &service, std::span<const TargetView> targets)
{
    for (const auto &it : targets) {
        const auto known = m_fleet.marks().find(service, it.spec->id);
        if (!it.verdict.leaving || (known && known->leaving))
            continue;
        // The mark of an answer names no incarnation; it means the one that is known.
        if (m_fleet.hear({service, it.spec->id, known ? known->incarnation : 0, true}))
            m_fleet.hurry();
    }
}

void ControlState::updateReadiness()
{
    ReadinessInputs inputs;
    inputs.hasPreset = m_register.current() != nullptr;
    inputs.isBehind = m_fetch.wanted() > m_register.version();
    inputs.isStopping = m_stopping;
    const auto verdict = m_readiness.judge(inputs, m_clock.now());
    const bool changed = verdict.ready != m_verdict.ready || verdict.why != m_verdict.why;
    m_verdict = verdict;
    if (!changed)
        return;
    m_actions.setReady(verdict.ready, verdict.why);
    m_events.record(verdict.ready ? EventId::ProcessReady : EventId::ProcessNotReady,
                    {{"why", std::string(verdict.why)}});
    publishStatus();
}

} // namespace Sapphireladder
