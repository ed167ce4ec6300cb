#pragma once

#include "Process/Loop/RelayLink.h"
#include "Process/Loop/RelayServer.h"
#include "Process/Loop/TableFollower.h"

#include <array>
#include <memory>
#include <vector>

namespace Sapphireladder {

/**
 * Keeps this VM's knowledge of the platform up to date: follows the store itself, or hears of
 * changes from the few VMs that do. Runs on the control thread.
 */
class PlatformSession final : public RelaySource
{
public:
    /** The references outlive the session. */
    PlatformSession(LoopContext &context, PlatformStore &store, const RowTranslator &translator,
                    PlatformFeed &feed, EventSink &events, const GatewaySettings &settings);

    /** Listens for other VMs and starts the calls. */
    Result<> start();
    /** Ends all calls. */
    void stop();

    // RelaySource
    RelayState relayState() const override;
    void asked() override;

private:
    TableFollower makeFollower(PlatformStore &store, RowTable table, Duration changeBound);
    bool isFollowingClosely() const;
    bool isFollowing() const;
    void noteWords();
    void tellIfClose();
    void listSelf();
    void listSelfIfMissing(std::span<const FleetMember> members);
    void countFleet();
    void membersRead(Result<std::vector<FleetMember>> members);
    void superviseAfter(Duration delay);
    void supervise();
    void follow(bool isReader);
    void leaveStore();
    void openLinks(const RelayRole &role);
    void linkFailed(const FleetMember &member);
    void logRole(const RelayRole &role);
    void callAfter(Duration delay, void (PlatformSession::*action)());

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
    /** This VM has to list itself before it counts the fleet for the first time. */
    const bool m_isFirstStart;
    bool m_isCounted = false;
    /** Since when the VM follows the store without a stop. */
    TimePoint m_followingSince{};
    bool m_wasClose = false;
    std::string m_loggedRole;
};

} // namespace Sapphireladder
