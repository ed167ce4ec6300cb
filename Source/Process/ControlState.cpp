#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

// One handler per alternative of ControlMessage, in the same order.
const ControlState::Handler ControlState::handlers[] = {
        &ControlState::forward<&ControlState::onTick, Tick>,
        &ControlState::forward<&ControlState::onActivePresetRead, ActivePresetRead>,
        &ControlState::forward<&ControlState::onPresetRead, PresetRead>,
        &ControlState::forward<&ControlState::onSwitchCommand, SwitchCommand>,
        &ControlState::forward<&ControlState::onSwitchFinished, SwitchFinished>,
        &ControlState::forward<&ControlState::onStopRequested, StopRequested>,
        &ControlState::forward<&ControlState::onDigestReceived, DigestReceived>,
        &ControlState::forward<&ControlState::onPresetPushed, PresetPushed>,
        &ControlState::forward<&ControlState::onPresetTextRequested, PresetTextRequested>,
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
    , m_fleetControl(settings,
                     {settings.vm, incarnation, settings.peerEndpoint, settings.zone, 0, false},
                     RandomSource(m_random.below(std::size_t(1) << 62U)), peerActions, events)
    , m_readiness(settings.isolationLimit, clock.now())
    , m_peerActions(peerActions)
    , m_targetTracker(events)
{}

void ControlState::handle(const ControlMessage &message)
{
    (this->*handlers[message.index()])(message);
}

void ControlState::onTick(const Tick &)
{
    updateTargets();
    const auto now = m_clock.now();
    m_fleetControl.tick(applied(), now);
    fetchIfDue();
    updateReadiness();
    if (now >= m_nextStatus)
        publishStatus();
    if (now < m_nextPresetRead)
        return;
    // Jitter of 25 % spreads the reads of the same row by all VMs.
    const double factor = 0.75 + 0.5 * m_random.unit();
    m_nextPresetRead = now + duration_cast<Duration>(m_settings.presetReadInterval * factor);
    m_actions.readActivePreset();
}

void ControlState::onActivePresetRead(const ActivePresetRead &message)
{
    recordStoreCall(message.row.has_value());
    if (!message.row)
        return;
    m_readiness.recordRowRead();
    const auto &activePreset = message.row.value().activePreset;
    if (activePreset.version > 0)
        evaluateVersion(activePreset);
}

void ControlState::recordStoreCall(bool reached)
{
    if (reached)
        m_readiness.recordStoreContact(m_clock.now());
    if (reached == m_storeReachable)
        return;
    m_storeReachable = reached;
    m_events.record(reached ? EventId::StoreRecovered : EventId::StoreUnavailable, {});
}

ActivePreset ControlState::applied() const
{
    ActivePreset preset;
    if (const auto &current = m_appliedPreset.current()) {
        preset.version = current->version();
        preset.digest = current->digest();
    }
    return preset;
}

void ControlState::evaluateVersion(const ActivePreset &reported,
                                   const std::optional<Endpoint> &from)
{
    switch (m_appliedPreset.compare(reported.version, reported.digest)) {
    case VersionComparison::Newer:
        m_fetch.setWanted(reported, from);
        fetchIfDue();
        return;
    case VersionComparison::Older:
        m_metrics.recordOlderVersion();
        m_events.record(EventId::PresetOlderIgnored,
                        {{"heard", std::to_string(reported.version)},
                         {"applied", std::to_string(m_appliedPreset.version())}});
        return;
    case VersionComparison::DigestMismatch:
        m_events.record(EventId::PresetDigestMismatch,
                        {{"version", std::to_string(reported.version)},
                         {"heard", reported.digest.string()},
                         {"applied", m_appliedPreset.current()->digest().string()}});
        return;
    case VersionComparison::Same:
        return;
    }
}

void ControlState::fetchIfDue()
{
    const auto now = m_clock.now();
    if (m_fetch.wanted() <= m_appliedPreset.version())
        return;
    const auto attempt = m_fetch.nextAttempt(m_appliedPreset.version(), m_fleetControl.peers(now),
                                             now, m_random);
    if (!attempt)
        return;
    if (attempt->peer)
        m_peerActions.fetchPreset(*attempt->peer, attempt->activePreset);
    else
        m_actions.readPreset(attempt->activePreset);
}

void ControlState::onPresetRead(const PresetRead &message)
{
    m_fetch.recordResult(message.activePreset.version, message.snapshot.has_value(), m_clock.now(),
                         m_random);
    if (!message.snapshot) {
        const auto &error = message.snapshot.error();
        // An invalid text stays invalid, while a text that could not be read may become available.
        const bool isInvalid = error.code.category()
                               == make_error_code(VersionError::InvalidYaml).category();
        m_events.record(isInvalid ? EventId::PresetBodyInvalid : EventId::PresetBodyUnavailable,
                        {{"version", std::to_string(message.activePreset.version)},
                         {"error", error.toString()}});
        fetchIfDue();
        return;
    }
    const auto before = applied().digest;
    if (!m_appliedPreset.apply(message.snapshot.value())) {
        fetchIfDue();
        return;
    }
    m_presetTexts[m_appliedPreset.current()->digest()] = message.text;
    std::erase_if(m_presetTexts, [&](const auto &it) {
        return it.first != before && it.first != m_appliedPreset.current()->digest();
    });
    m_events.record(EventId::PresetApplied,
                    {{"version", std::to_string(m_appliedPreset.version())},
                     {"preset", m_appliedPreset.current()->preset().name.string()}});
    publishSnapshot();
    updateReadiness();
    publishStatus();
    m_fleetControl.requestExchange();
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
    // The result of a repeated operation that a later switch superseded has no digest.
    if (result.activePreset.version == 0 || result.activePreset.digest.isEmpty())
        return;
    evaluateVersion(result.activePreset);
    if (result.status == SwitchStatus::Accepted)
        m_fleetControl.announcePreset(result.activePreset, m_clock.now());
}

void ControlState::onStopRequested(const StopRequested &)
{
    m_stopping = true;
    updateReadiness();
    m_fleetControl.stop(applied(), m_clock.now());
}

void ControlState::onDigestReceived(const DigestReceived &message)
{
    m_readiness.recordPeerContact(m_clock.now());
    if (m_fleetControl.merge(message.digest, m_clock.now())) {
        publishSnapshot();
        publishStatus();
    }
    const auto &reported = message.digest.applied;
    // A peer that is behind is normal during a switch; the reply updates it.
    if (reported.version > 0 && reported.version >= m_appliedPreset.version())
        evaluateVersion(reported, message.digest.sender.endpoint);
    else if (reported.version > 0)
        m_metrics.recordOlderVersion();
    if (message.reply)
        message.reply(m_fleetControl.createReply(applied()));
}

void ControlState::onPresetPushed(const PresetPushed &message)
{
    m_readiness.recordPeerContact(m_clock.now());
    if (message.activePreset.version > 0)
        evaluateVersion(message.activePreset, message.from);
    message.reply(m_appliedPreset.version());
}

void ControlState::onPresetTextRequested(const PresetTextRequested &message)
{
    const auto it = m_presetTexts.find(message.digest);
    message.reply(it == m_presetTexts.end() ? nullptr : it->second);
}

void ControlState::onMembersRead(const MembersRead &message)
{
    recordStoreCall(message.members.has_value());
    if (message.members)
        m_fleetControl.merge(message.members.value(), m_clock.now());
}

void ControlState::onHeartbeatWritten(const HeartbeatWritten &message)
{
    recordStoreCall(message.status == WriteStatus::Written);
}

void ControlState::onVmListRead(const VmListRead &message)
{
    if (!message.entries) {
        m_events.record(EventId::VmListUnavailable, {});
        return;
    }
    bool changed = false;
    for (const auto &it : message.entries.value()) {
        const auto target = findTargetAt(it.service, it.address);
        if (!target.isEmpty())
            changed = m_fleetControl.merge({it.service, target, it.incarnation, it.leaving})
                      || changed;
    }
    if (changed) {
        publishSnapshot();
        publishStatus();
    }
}

TargetId ControlState::findTargetAt(const ServiceName &service, const Endpoint &address) const
{
    const auto &current = m_appliedPreset.current();
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
    status->ready = m_lastReadiness.ready;
    status->notReadyReason = m_lastReadiness.reason;
    status->isolated = m_readiness.isIsolated(now);
    status->storeReachable = m_storeReachable;
    status->incarnation = m_fleetControl.self().incarnation;
    status->highestReportedVersion = std::max(m_fetch.wanted(), m_appliedPreset.version());
    status->olderVersions = m_metrics.olderVersions();
    status->members = m_fleetControl.liveMembers(now);
    status->leavingTargets = m_fleetControl.marks().leavingCount();
    m_actions.publishStatus(std::move(status));
}

void ControlState::publishSnapshot()
{
    if (!m_appliedPreset.current())
        return;
    auto snapshot = std::make_shared<FleetSnapshot>();
    snapshot->preset = m_appliedPreset.current();
    m_targetTracker.setPreset(snapshot->preset->preset(), m_clock.now());
    applyFleetMarks();
    m_targetTracker.update(m_clock.now());
    for (const auto &it : snapshot->preset->preset().services) {
        auto &state = m_services[it.name];
        if (!state) {
            const auto seed = m_random.below(std::size_t(1) << 62U);
            state = std::make_shared<ServiceState>(m_settings.zone, m_clock, seed, it.retry,
                                                   m_observations);
        }
        state->budget.setPolicy(it.retry);
        state->gate.setView(createView(it));
        snapshot->services.emplace(it.name.view(), state);
    }
    m_actions.publish(std::move(snapshot));
}

std::shared_ptr<const ServiceView> ControlState::createView(const ServicePolicy &policy)
{
    auto view = std::make_shared<ServiceView>();
    view->preset = m_appliedPreset.current();
    view->policy = &policy;
    view->targets = m_targetTracker.views(policy);
    view->selector = findRoutingStrategy(policy.routing.strategy)->create();
    return view;
}

void ControlState::updateTargets()
{
    for (const auto &it : m_observations->drain())
        m_targetTracker.observe(it, m_clock.now());
    m_metrics.setDroppedObservations(m_observations->dropped());
    publishChangedViews();
}

void ControlState::publishChangedViews()
{
    for (const auto &it : m_targetTracker.update(m_clock.now())) {
        const auto *policy = m_appliedPreset.current()->findService(it.view());
        const auto view = createView(*policy);
        m_services.at(it)->gate.setView(view);
        announceLeavingTargets(it, view->targets);
    }
}

void ControlState::applyFleetMarks()
{
    for (const auto &service : m_appliedPreset.current()->preset().services) {
        for (const auto &it : service.targets) {
            const auto mark = m_fleetControl.marks().find(service.name, it.id);
            if (mark && mark->leaving)
                m_targetTracker.markLeaving(service.name, it.id, mark->incarnation);
            else if (mark)
                m_targetTracker.markLive(service.name, it.id, mark->incarnation, m_clock.now());
        }
    }
}

void ControlState::announceLeavingTargets(const ServiceName &service,
                                          std::span<const TargetView> targets)
{
    for (const auto &it : targets) {
        const auto known = m_fleetControl.marks().find(service, it.spec->id);
        if (!it.availability.leaving || (known && known->leaving))
            continue;
        // A draining header names no incarnation; it refers to the one that is known.
        if (m_fleetControl.merge({service, it.spec->id, known ? known->incarnation : 0, true}))
            m_fleetControl.requestExchange();
    }
}

void ControlState::updateReadiness()
{
    ReadinessInputs inputs;
    inputs.hasPreset = m_appliedPreset.current() != nullptr;
    inputs.isBehind = m_fetch.wanted() > m_appliedPreset.version();
    inputs.isStopping = m_stopping;
    const auto readiness = m_readiness.evaluate(inputs, m_clock.now());
    const bool changed = readiness.ready != m_lastReadiness.ready
                         || readiness.reason != m_lastReadiness.reason;
    m_lastReadiness = readiness;
    if (!changed)
        return;
    m_actions.setReady(readiness.ready, readiness.reason);
    m_events.record(readiness.ready ? EventId::ProcessReady : EventId::ProcessNotReady,
                    {{"why", std::string(readiness.reason)}});
    publishStatus();
}

} // namespace Sapphireladder
