#pragma once

#include "Process/ControlMessage.h"
#include "Process/FleetSnapshot.h"
#include "Process/Metrics.h"
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
    virtual void readPreset(const InForce &inForce) = 0;
    /** Runs a switch, replies to the operator, and ends with SwitchFinished. */
    virtual void runSwitch(const SwitchCommand &command) = 0;
    /** Makes a snapshot the one that traffic threads load. */
    virtual void publish(std::shared_ptr<const FleetSnapshot> snapshot) = 0;
    /** Tells the platform's balancer whether to send requests here. */
    virtual void setReady(bool ready, std::string_view why) = 0;
};

/** All control state of the process. Used by the control thread alone; does no I/O. */
class ControlState
{
public:
    /** The references outlive the state. */
    ControlState(const Settings &settings, const Clock &clock, RandomSource random,
                 ControlActions &actions, EventSink &events, Metrics &metrics);

    /** Takes one message. */
    void handle(const ControlMessage &message);

    PresetVersion version() const { return m_register.version(); }

    /** Notes a leaving target. @see TargetSupervisor::markLeaving */
    void markLeaving(const ServiceName &service, const TargetId &target, Incarnation incarnation);
    /** Notes a live target. @see TargetSupervisor::markLive */
    void markLive(const ServiceName &service, const TargetId &target, Incarnation incarnation);

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

    /** Judges a version heard from anywhere, and fetches it if it is newer. */
    void considerVersion(const InForce &inForce);
    void publishSnapshot();
    /** Takes in observations and publishes the views of services whose verdicts have changed. */
    void superviseTargets();
    void publishChangedViews();
    std::shared_ptr<const ServiceView> viewOf(const ServicePolicy &policy);
    void updateReadiness();

    const Settings &m_settings;
    const Clock &m_clock;
    RandomSource m_random;
    ControlActions &m_actions;
    EventSink &m_events;
    Metrics &m_metrics;

    PresetRegister m_register;
    PresetVersion m_fetching = 0;
    TimePoint m_nextPresetRead{};
    bool m_ready = false;
    bool m_stopping = false;
    std::map<ServiceName, std::shared_ptr<ServiceState>> m_services;
    std::shared_ptr<ObservationQueue> m_observations = std::make_shared<ObservationQueue>();
    TargetSupervisor m_supervisor;
};

} // namespace Sapphireladder
