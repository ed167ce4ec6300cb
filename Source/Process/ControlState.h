#pragma once

#include "Process/ControlMessage.h"
#include "Process/FleetControl.h"
#include "Process/FleetSnapshot.h"
#include "Process/FleetStatus.h"
#include "Process/Metrics.h"
#include "Process/PresetFetch.h"
#include "Process/ReadinessRule.h"
#include "Process/Settings.h"
#include "Process/TargetTracker.h"

#include <map>
#include <memory>

namespace Sapphireladder {

/** Work that the control state starts. Calls return immediately; results arrive as messages. */
class ControlActions
{
public:
    virtual ~ControlActions() = default;
    /** Reads the row of the active preset; completes with ActivePresetRead. */
    virtual void readActivePreset() = 0;
    /** Reads and validates a preset's text; completes with PresetRead. */
    virtual void readPreset(const ActivePreset &activePreset) = 0;
    /** Runs a switch, replies to the operator, and completes with SwitchFinished. */
    virtual void runSwitch(const SwitchCommand &command) = 0;
    /** Publishes a snapshot to the traffic threads. */
    virtual void publish(std::shared_ptr<const FleetSnapshot> snapshot) = 0;
    /** Publishes the status that is shown to operators. */
    virtual void publishStatus(std::shared_ptr<const FleetStatus> status) = 0;
    /** Sets the readiness that is reported to the platform's load balancer. */
    virtual void setReady(bool ready, std::string_view why) = 0;
};

/** All control state of the process. Used by the control thread only; does no I/O. */
class ControlState
{
public:
    /** The references must outlive the object. @param incarnation higher than at earlier starts */
    ControlState(const Settings &settings, const Clock &clock, RandomSource random,
                 std::uint64_t incarnation, ControlActions &actions, PeerActions &peerActions,
                 EventSink &events, Metrics &metrics);

    /** Dispatches a message to its handler. */
    void handle(const ControlMessage &message);

    PresetVersion version() const { return m_appliedPreset.version(); }

private:
    using Handler = void (ControlState::*)(const ControlMessage &message);
    static const Handler handlers[std::variant_size_v<ControlMessage>];

    template<auto Method, typename Message>
    void forward(const ControlMessage &message)
    {
        (this->*Method)(std::get<Message>(message));
    }

    void onTick(const Tick &message);
    void onActivePresetRead(const ActivePresetRead &message);
    void onPresetRead(const PresetRead &message);
    void onSwitchCommand(const SwitchCommand &message);
    void onSwitchFinished(const SwitchFinished &message);
    void onStopRequested(const StopRequested &message);
    void onDigestReceived(const DigestReceived &message);
    void onPresetPushed(const PresetPushed &message);
    void onPresetTextRequested(const PresetTextRequested &message);
    void onMembersRead(const MembersRead &message);
    void onHeartbeatWritten(const HeartbeatWritten &message);
    void onVmListRead(const VmListRead &message);

    /**
     * Compares a reported version with the one applied, and fetches it if it is newer.
     * @param from peer that reported it; empty for the store
     */
    void evaluateVersion(const ActivePreset &reported, const std::optional<Endpoint> &from = {});
    void fetchIfDue();
    /** Records whether a call reached the store. */
    void recordStoreCall(bool reached);
    /** @return version and digest of the preset that this VM has applied. */
    ActivePreset applied() const;
    void publishStatus();
    /** @return the service's target at the address, empty if the preset has none there. */
    TargetId findTargetAt(const ServiceName &service, const Endpoint &address) const;
    void publishSnapshot();
    /** Processes queued observations and publishes views of services whose targets changed. */
    void updateTargets();
    void publishChangedViews();
    /** Passes the marks that the fleet has reported to the target tracker. */
    void applyFleetMarks();
    /** Announces targets that this VM found to be leaving to the other VMs. */
    void announceLeavingTargets(const ServiceName &service, std::span<const TargetView> targets);
    std::shared_ptr<const ServiceView> createView(const ServicePolicy &policy);
    void updateReadiness();

    const Settings &m_settings;
    const Clock &m_clock;
    RandomSource m_random;
    ControlActions &m_actions;
    EventSink &m_events;
    Metrics &m_metrics;

    AppliedPreset m_appliedPreset;
    PresetFetch m_fetch;
    /** Texts of the applied version and of the previous one, for peers to fetch. */
    std::map<ContentDigest, std::shared_ptr<const std::string>> m_presetTexts;
    FleetControl m_fleetControl;
    ReadinessRule m_readiness;
    Readiness m_lastReadiness;
    PeerActions &m_peerActions;
    TimePoint m_nextPresetRead{};
    TimePoint m_nextStatus{};
    bool m_storeReachable = true;
    bool m_stopping = false;
    std::map<ServiceName, std::shared_ptr<ServiceState>> m_services;
    std::shared_ptr<ObservationQueue> m_observations = std::make_shared<ObservationQueue>();
    TargetTracker m_targetTracker;
};

} // namespace Sapphireladder
