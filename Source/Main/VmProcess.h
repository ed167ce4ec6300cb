#pragma once

#include "Connection/Http/ConnectionHttp.h"
#include "Main/PeerActionRunner.h"
#include "Process/Http/ProcessHttp.h"
#include "Process/Io/ProcessIo.h"

#include <memory>
#include <mutex>

namespace Sapphireladder {

/** The process of the `serve` command: a VM's threads and their shared state. */
class VmProcess final
    : private TrafficService
    , private AdminService
    , private ControlActions
{
public:
    /**
     * Starts serving.
     * @param settings validated settings
     * @param events receives events; must outlive the object
     * @return the running process, or the error if an address cannot be bound.
     */
    static Result<std::unique_ptr<VmProcess>> create(const Settings &settings, EventSink &events);
    ~VmProcess() override;

    /**
     * Shuts down without aborting requests in flight. Returns when all callers are disconnected.
     */
    void stop();

private:
    VmProcess(const Settings &settings, EventSink &events);
    Result<> start();

    std::shared_ptr<const FleetSnapshot> snapshot() const { return std::atomic_load(&m_snapshot); }

    // TrafficService, called on traffic threads.
    std::shared_ptr<const PresetSnapshot> preset() const override;
    RequestOutcome serve(const RequestInfo &info, const ServicePolicy &policy,
                         std::span<const HeaderField> headers, std::string_view body) override;
    void recordOutcome(const RequestOutcome &outcome, Duration latency) override;
    bool isStopping() const override { return m_isStopping; }
    void closeExpiredConnections() override;

    // AdminService, called on the admin server's threads.
    AdminResponse ready() override;
    AdminResponse status() override;
    AdminResponse metrics() override;
    AdminResponse listPresets() override;
    AdminResponse showPreset(std::string_view name) override;
    AdminResponse putPreset(std::string_view name, std::string_view text) override;
    AdminResponse activePreset() override;
    AdminResponse switchPreset(std::string_view request) override;

    // ControlActions, called on the control thread.
    void readActivePreset() override;
    void readPreset(const ActivePreset &activePreset) override;
    void runSwitch(const SwitchCommand &command) override;
    void publish(std::shared_ptr<const FleetSnapshot> snapshot) override;
    void publishStatus(std::shared_ptr<const FleetStatus> status) override;
    void setReady(bool ready, std::string_view reason) override;

    const Settings m_settings;
    EventSink &m_events;
    SteadyClock m_clock;
    Metrics m_metrics;
    InputRefusalLog m_refusalLog{m_events, m_clock};
    PlatformClient m_platformClient;
    TableClient m_tableClient;
    ObjectClient m_objectClient;
    PresetStoreClient m_presetStore;
    ClaimStoreClient m_claimStore;
    MemberStoreClient m_memberStore;
    VmListClient m_vmListClient;
    HttpTransport m_transport;

    /** Accessed only through std::atomic_load and std::atomic_store. */
    std::shared_ptr<const FleetSnapshot> m_snapshot;
    std::shared_ptr<const FleetStatus> m_fleetStatus;
    std::atomic<bool> m_isReady{false};
    std::atomic<bool> m_isStopping{false};

    ControlThread m_control;
    IoThreadPool m_ioThreadPool;
    PeerActionRunner m_peerActions;
    ControlState m_state;
    std::unique_ptr<AdminServer> m_admin;
    std::unique_ptr<CallerListener> m_listener;
};

} // namespace Sapphireladder
