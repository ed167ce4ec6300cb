#pragma once

#include "Process/ControlMessage.h"
#include "Process/FleetControl.h"
#include "Process/FleetSnapshot.h"
#include "Process/FleetStatus.h"
#include "Process/Metrics.h"
#include "Process/PresetFetch.h"
#include "Process/ReadinessRule.h"
#include "Process/Settings.h"
#include "Process/TargetSupervisor.h"

#include <map>
#include <memory>

namespace Sapphireladder {

/** What the control state asks the process to do. Calls return at once; ends come as messages. */
class ControlActions
{
public:
    virtual ~ControlActions() = default;
    /** Reads the row in force; ends with InForceRead. */
    virtual void readInForce() = 0;
    /** Reads and checks a preset's text; ends with PresetRead. */
    virtual void readPreset(const ActivePreset &inForce) = 0;
    /** Runs a switch, replies to the operator, and ends with SwitchFinished. */
    virtual void runSwitch(const SwitchCommand &command) = 0;
    /** Makes a snapshot the one that traffic threads load. */
    virtual void publish(std::shared_ptr<const FleetSnapshot> snapshot) = 0;
    /** Makes a status the one that operators are shown. */
    virtual void publishStatus(std::shared_ptr<const FleetStatus> status) = 0;
    /** Tells the platform's balancer whether to send requests here. */
    virtual void setReady(bool ready, std::string_view why) = 0;
};

/** All control state of the process. Used by the control thread alone; does no I/O. */
class ControlState
{
public:
    /** The references outlive the state. @param incarnation higher than at earlier starts */
    ControlState(const Settings &settings, const Clock &clock, RandomSource random,
                 std::uint64_t incarnation, ControlActions &actions, PeerActions &peerActions,
                 EventSink &events, Metrics &metrics);

    /** Takes one message. */
    void handle(const ControlMessage &message);

    PresetVersion version() const { return m_register.version(); }

private:
    using Handler = void (ControlState::*)(const ControlMessage &message);
    static const Handler handlers[std::variant_size_v<ControlMessage>];

    template<auto Method, typename Message>
    void forward(const ControlMessage &message)
    {
        (this->*Method)(std::get<Message>(message));
    }

    void onTick(const Tick &message);
    void onInForceRead(const InForceRead &message);
    void onPresetRead(const PresetRead &message);
    void onSwitchCommand(const SwitchCommand &message);
    void onSwitchFinished(const SwitchFinished &message);
    void onStopRequested(const StopRequested &message);
    void onDigestHeard(const DigestHeard &message);
    void onPresetPushed(const PresetPushed &message);
    void onPresetAsked(const PresetAsked &message);
    void onMembersRead(const MembersRead &message);
    void onHeartbeatWritten(const HeartbeatWritten &message);
    void onVmListRead(const VmListRead &message);

    /**
     * Judges a version heard from anywhere, and fetches it if it is newer.
     * @param from peer that told of it; empty for the store
     */
    void considerVersion(const ActivePreset &inForce, const std::optional<Endpoint> &from = {});
    void fetchIfDue();
    /** Takes how a call to the store ended. */
    void noteStore(bool reached);
    /** @return version and digest that this VM applies. */
    ActivePreset applied() const;
    void publishStatus();
    /** @return target of the service at the address, empty if the preset has none. */
    TargetId targetAt(const ServiceName &service, const Endpoint &address) const;
    void publishSnapshot();
    /** Takes in observations and publishes the views of services whose verdicts have changed. */
    void superviseTargets();
    void publishChangedViews();
    /** Gives the fleet's marks to the supervisor. */
    void takeMarks();
    /** Gives leaving targets that this VM has found out to the other VMs. */
    void tellMarks(const ServiceName &service, std::span<const TargetView> targets);
    std::shared_ptr<const ServiceView> viewOf(const ServicePolicy &policy);
    void updateReadiness();

    const Settings &m_settings;
    const Clock &m_clock;
    RandomSource m_random;
    ControlActions &m_actions;
    EventSink &m_events;
    Metrics &m_metrics;

    AppliedPreset m_register;
    PresetFetch m_fetch;
    /** Texts of the applied version and of the one before, for peers. */
    std::map<ContentDigest, std::shared_ptr<const std::string>> m_texts;
    FleetControl m_fleet;
    ReadinessRule m_readiness;
    Readiness m_verdict;
    PeerActions &m_peerActions;
    TimePoint m_nextPresetRead{};
    TimePoint m_nextStatus{};
    bool m_storeReachable = true;
    bool m_stopping = false;
    std::map<ServiceName, std::shared_ptr<ServiceState>> m_services;
    std::shared_ptr<ObservationQueue> m_observations = std::make_shared<ObservationQueue>();
    TargetSupervisor m_supervisor;
};

} // namespace Sapphireladder
