#pragma once

#include "Process/Loop/RelayLink.h"
#include "Process/Loop/RelayServer.h"
#include "Process/Loop/TableFollower.h"

#include <array>
#include <memory>
#include <vector>

namespace Sapphireladder {

/**
 * Keeps this VM's copy of the platform's tables up to date, either by following the store directly
 * or by receiving changes from the few VMs that do. Runs on the control thread.
 */
class PlatformSession final : public RelayHost
{
public:
    /** The references must outlive the session. */
    PlatformSession(LoopContext &context, PlatformStore &store, const RowTranslator &translator,
                    PlatformFeed &feed, EventSink &events, const GatewaySettings &settings);

    /** Listens for other VMs and starts calling the store. */
    Result<> start();
    /** Cancels all calls to the store and to other VMs, and stops listening. */
    void stop();

    // RelayHost
    RelayState relayState() const override;
    void queryReceived() override;

private:
    TableFollower makeFollower(PlatformStore &store, RowTable table, Duration maxChangeDelay);
    bool isUpToDate() const;
    bool isFollowing() const;
    void recordLinkResponses();
    void notifyOnStateChange();
    void registerSelf();
    void registerSelfIfMissing(std::span<const FleetMember> members);
    void readFleet();
    void handleMembers(Result<std::vector<FleetMember>> members);
    void scheduleSupervision(Duration delay);
    /** Updates the links, and starts or stops following the store, according to this VM's role. */
    void supervise();
    /** Follows the store. @param isReader whether other VMs receive the changes from this one */
    void follow(bool isReader);
    void stopFollowing();
    void updateLinks(const RelayRole &role);
    void linkFailed(const FleetMember &member);
    void logRole(const RelayRole &role);
    void scheduleFleetCall(Duration delay, void (PlatformSession::*action)());

    LoopContext &m_context;
    PlatformStore &m_store;
    PlatformFeed &m_feed;
    EventSink &m_events;
    const FleetMember m_self;
    RowMirror m_mirror;
    std::array<TableFollower, rowTableCount> m_followers;
    RelayServer m_server;
    RelayPlan m_plan;
    StoreFollowRule m_storeFollowRule;
    std::vector<std::shared_ptr<RelayLink>> m_links;
    LoopTimer m_fleetTimer;
    LoopTimer m_superviseTimer;
    RandomSource m_random = RandomSource::fromSystem();
    /** Whether this VM has to register itself before it reads the fleet list for the first time. */
    const bool m_isFirstStart;
    bool m_isFleetKnown = false;
    /** When the VM last began to follow the store. */
    TimePoint m_followingSince{};
    bool m_wasUpToDate = false;
    std::string m_loggedRole;
};

} // namespace Sapphireladder
