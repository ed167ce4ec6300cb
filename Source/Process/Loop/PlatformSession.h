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
class PlatformSession final
    : public RelayHost
    , public RelayLinkObserver
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
    TimePoint completeUntil(RowTable table) const override;
    void queryReceived(const VmId &vm) override;
    const FleetList &fleet() const override { return m_fleet; }
    unsigned fleetSize() const override { return m_fleetSize; }

    // RelayLinkObserver
    void linkFailed(const FleetMember &member) override;
    void fleetReceived(const FleetList *list, unsigned fleetSize) override;
    StorePosition fleetPosition() const override { return m_fleet.position; }

private:
    TableFollower makeFollower(PlatformStore &store, RowTable table, Duration maxChangeDelay);
    /** @return the time until which all tables are complete by responses of the store to this VM.
     */
    std::optional<TimePoint> confirmedUntil() const;
    /** @return whether the tables are recent enough to relay them. */
    bool isUpToDate() const;
    bool isFollowing() const;
    bool isStoreFailing() const;
    /** @return whether this VM follows the store and gets no responses in time. */
    bool hasLostStore() const;
    /** Logs when the tables, whatever their source, become too old or recent again. */
    void logFreshness(TimePoint now);
    void recordLinkResponses();
    void notifyOnStateChange();
    /** Writes this VM's entry in the fleet list. */
    void writeSelf(std::optional<VmHashes> clients);
    /** Called after changes of rows: notices the return of the store from an older copy. */
    void checkStoreEra();
    /** Keeps what a list of a later era may lack until the VMs have written it again. */
    void retainFleet(const FleetList &list);
    /** Writes this VM's entry again if a list of the present era lacks it. */
    void restoreEntry(const FleetList &list);
    /** Sets this VM's entry to the one that it wrote last. */
    void insertOwnEntry(std::vector<FleetMember> &members) const;
    /** @return the listed VMs, and those retained from the previous era. */
    std::vector<FleetMember> membersInForce() const;
    void expireRetained(TimePoint now);
    void readFleet();
    void handleFleet(Result<FleetList> list);
    void applyFleet(FleetList list);
    void updateFleetSize(std::optional<unsigned> vms);
    void publishClients();
    /** Reads the fleet list again if this VM calls the store anyway. */
    void refreshFleet();
    void scheduleSupervision(Duration delay);
    /** Updates the links, and starts or stops following the store, according to this VM's role. */
    void supervise();
    /** Follows the store. @param isReader whether other VMs receive the changes from this one */
    void follow(bool isReader);
    void stopFollowing();
    void updateLinks(const RelayRole &role);
    Duration superviseDelay(TimePoint now) const;
    void logRole(const RelayRole &role);
    void scheduleFleetCall(Duration delay, void (PlatformSession::*action)());

    LoopContext &m_context;
    PlatformStore &m_store;
    PlatformFeed &m_feed;
    EventSink &m_events;
    const FleetMember m_self;
    const Duration m_maxChangeDelay;
    const FreshnessBounds m_freshnessBounds;
    const Duration m_maxRecoveryDelay;
    RowMirror m_mirror;
    StoreClock m_storeClock;
    std::array<TableFollower, rowTableCount> m_followers;
    RelayServer m_server;
    RelayPlan m_plan;
    FleetList m_fleet;
    /** Entries of the previous era of the store, which their VMs write again. */
    std::vector<FleetMember> m_retainedMembers;
    TimePoint m_retainedUntil{};
    /** This VM's entry of the previous era, until a list of this one has it. */
    std::optional<FleetMember> m_entryToRestore;
    /** The clients in the entry that this VM wrote last. */
    std::optional<VmHashes> m_publishedClients;
    /** The latest era of the store that this VM knows of. */
    std::uint64_t m_storeEra = 0;
    unsigned m_fleetSize = 0;
    RelayClients m_clients;
    bool m_isWritingSelf = false;
    /** This VM wrote its entry and has not read the list since. */
    bool m_isOwnEntryUnread = false;
    StoreFollowRule m_storeFollowRule;
    std::vector<std::shared_ptr<RelayLink>> m_links;
    LoopTimer m_fleetTimer;
    LoopTimer m_superviseTimer;
    RandomSource m_random;
    /** Phase of the poll schedule, as a fraction of its interval. */
    const double m_pollPhase = m_random.unit();
    /** Whether the polls return at the interval of a relaying VM. */
    bool m_isPollingClosely = false;
    /** Whether the whole fleet starts, so that the fleet list is still empty. */
    const bool m_isFirstStart;
    bool m_isFleetKnown = false;
    /** When the VM last began to follow the store. */
    TimePoint m_followingSince{};
    bool m_wasUpToDate = false;
    bool m_areTablesOutdated = false;
    std::string m_loggedRole;
};

} // namespace Sapphireladder
