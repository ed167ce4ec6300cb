#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/**
 * Interval between reads of the fleet list by VMs that follow the store. Retry budgets and load
 * probe rates depend on the fleet size, which changes within minutes, as VMs come and go.
 */
constexpr Duration fleetReadInterval = 15s;
constexpr Duration fleetRetryDelay = 5s;
/**
 * Time for which VMs stay listed that the list lacks after the store returned from an older copy.
 * They write their entries again when they learn of the return, and the list is read twice by then.
 */
constexpr Duration memberRetentionTime = 20s;
/** Delay of the second read of the list after such a return. */
constexpr Duration returnedFleetReadDelay = 3s;
/** Delay before the list is read again after this VM added itself: others may do so, too. */
constexpr Duration registrationDelay = 700ms;
/**
 * Part of the time until a VM must have recovered that is left for the calls after a lost response
 * was noticed.
 */
constexpr Duration recoveryReserve = 300ms;
/** Margin of a check for the expiry of an age limit. */
constexpr Duration afterExpiry = 1ms;
/** Time allowed for the first store responses before a VM reports the store as unreachable. */
constexpr Duration startupTimeout = 1s;
/** Interval between checks of the relay links and table followers. */
constexpr Duration superviseInterval = 250ms;
/** The same for a VM that only receives relayed changes. A failed link is handled at once. */
constexpr Duration relayedSuperviseInterval = 1500ms;
/**
 * Growth of the retry delay of a VM that follows the store only for itself. In that case all VMs
 * may call the store. Doubling the initial delay caused five calls per VM in the first 3 s of an
 * outage.
 */
constexpr unsigned standaloneBackoffFactor = 20;
/** Fraction of the bound on change propagation that is spent batching changes at the store. */
constexpr double batchShare = 0.25;

/** @return whether both entries name the same VM at the same address. */
bool isSameRelay(const FleetMember &a, const FleetMember &b)
{
    return a.vm == b.vm && a.relayEndpoint == b.relayEndpoint;
}

} // namespace

PlatformSession::PlatformSession(LoopContext &context, PlatformStore &store,
                                 const RowTranslator &translator, PlatformFeed &feed,
                                 EventSink &events, const GatewaySettings &settings)
    : m_context(context)
    , m_store(store)
    , m_feed(feed)
    , m_events(events)
    , m_self{settings.vm, settings.zone, settings.relayEndpoint, settings.cores, std::nullopt}
    , m_maxChangeDelay(settings.maxChangeDelay)
    , m_freshnessBounds(FreshnessBounds::of(settings.maxChangeDelay))
    , m_maxRecoveryDelay(settings.maxRecoveryDelay)
    , m_mirror(translator, feed)
    , m_followers{makeFollower(store, RowTable::Routes, settings.maxChangeDelay),
                  makeFollower(store, RowTable::Targets, settings.maxChangeDelay)}
    , m_server(context, m_mirror, *this, m_freshnessBounds.minRecencyGain)
    , m_plan(m_self)
    , m_storeFollowRule(m_freshnessBounds.maxAge)
    , m_fleetTimer(context.io)
    , m_superviseTimer(context.io)
    , m_random(settings.randomSeed ? RandomSource(*settings.randomSeed)
                                   : RandomSource::fromSystem())
    , m_isFirstStart(settings.isFirstStart)
{
    m_followers.front().yieldTo(m_followers.back());
    m_mirror.setChangeHandler([this] {
        checkStoreEra();
        m_server.respondToPending();
    });
}

Result<> PlatformSession::start()
{
    TRY(m_server.listen(m_self.relayEndpoint));
    // The tables are read once the fleet is known, since most VMs receive them from other VMs.
    m_fleetTimer.expires_after(
            RelayRegistration::startDelay(m_isFirstStart, m_self.cores, m_random.unit()));
    m_fleetTimer.async_wait([this](const auto &ec) {
        if (!ec)
            readFleet();
    });
    return success();
}

TableFollower PlatformSession::makeFollower(PlatformStore &store, RowTable table,
                                            Duration maxChangeDelay)
{
    return {m_context,
            store,
            m_storeClock,
            m_mirror,
            m_feed,
            table,
            duration_cast<Duration>(maxChangeDelay * batchShare),
            [this, table] {
                if (table == RowTable::Targets)
                    m_followers.front().resume();
                m_wasUpToDate = isUpToDate();
                m_server.respondToPending();
            }};
}

void PlatformSession::stop()
{
    m_fleetTimer.cancel();
    m_superviseTimer.cancel();
    for (const auto &it : m_links)
        it->stop();
    m_links.clear();
    m_server.close();
    m_store.closeAll();
}

void PlatformSession::follow(bool isReader)
{
    // The store may lose the response to one call only, so the wait of each is bounded. The same
    // holds for the delay after a failed call.
    const auto recoveryWait = m_maxRecoveryDelay - PlatformStore::responseTimeout - recoveryReserve;
    const auto interval = isReader ? std::min(recoveryWait, m_freshnessBounds.pollInterval)
                                   : recoveryWait;
    for (auto &it : m_followers)
        it.setPollSchedule({interval, duration_cast<Duration>(interval * m_pollPhase)});
    m_followers.back().setRetryBackoff(
            isReader ? RetryBackoff() : RetryBackoff{recoveryWait, standaloneBackoffFactor});
    // A poll in flight would return too late for the clients.
    const bool wasPollingClosely = std::exchange(m_isPollingClosely, isReader);
    if (isReader && !wasPollingClosely && confirmedUntil() && !isStoreFailing())
        stopFollowing();
    if (!isFollowing())
        m_followingSince = m_context.clock.now();
    for (auto &it : m_followers) {
        if (!it.isRunning())
            it.start();
    }
}

void PlatformSession::stopFollowing()
{
    for (auto &it : m_followers)
        it.stop();
}

bool PlatformSession::isFollowing() const
{
    return std::all_of(m_followers.begin(), m_followers.end(),
                       [](const auto &it) { return it.isRunning(); });
}

RelayState PlatformSession::relayState() const
{
    if (isUpToDate())
        return RelayState::UpToDate;
    const bool isNew = m_context.clock.now() - m_followingSince < startupTimeout;
    return isFollowing() && isNew && !isStoreFailing() ? RelayState::Starting
                                                       : RelayState::Unavailable;
}

TimePoint PlatformSession::completeUntil(RowTable table) const
{
    return m_mirror.origin(table).completeUntil;
}

bool PlatformSession::isStoreFailing() const
{
    return std::any_of(m_followers.begin(), m_followers.end(),
                       [](const auto &it) { return it.isFailing(); });
}

void PlatformSession::queryReceived(const VmId &vm)
{
    m_clients.recordQuery(vm, m_context.clock.now());
    m_storeFollowRule.recordRequest(m_context.clock.now());
    const bool wasFollowing = isFollowing();
    follow(true);
    if (!wasFollowing)
        scheduleSupervision(superviseInterval);
}

void PlatformSession::notifyOnStateChange()
{
    // Pending queries get a response when the store becomes unreachable, so that those VMs switch
    // to another source at once.
    const bool isNowUpToDate = isUpToDate();
    if (std::exchange(m_wasUpToDate, isNowUpToDate) != isNowUpToDate)
        m_server.respondToPending();
}

std::optional<TimePoint> PlatformSession::confirmedUntil() const
{
    auto earliest = TimePoint::max();
    for (const auto &it : m_followers) {
        if (!it.isRunning() || !it.completeUntil())
            return std::nullopt;
        earliest = std::min(earliest, *it.completeUntil());
    }
    return earliest;
}

bool PlatformSession::isUpToDate() const
{
    const auto until = confirmedUntil();
    return until && m_context.clock.now() - *until <= m_freshnessBounds.maxRelayedAge;
}

bool PlatformSession::hasLostStore() const
{
    const auto timeFollowing = m_context.clock.now() - m_followingSince;
    return isFollowing() && !isUpToDate()
           && (isStoreFailing() || timeFollowing > m_freshnessBounds.maxRelayedAge);
}

void PlatformSession::recordLinkResponses()
{
    for (const auto &it : m_links) {
        if (it->completeUntil())
            m_storeFollowRule.recordUpdate(*it->completeUntil());
        else if (it->isAwaitingFirstResponse())
            m_storeFollowRule.recordPendingQuery();
    }
}

void PlatformSession::writeSelf(std::optional<VmHashes> clients)
{
    if (std::exchange(m_isWritingSelf, true))
        return;
    auto self = m_self;
    self.clients = std::move(clients);
    m_store.writeMember(self, [this, self](Result<> written) {
        m_isWritingSelf = false;
        if (self.clients)
            m_clients.writeEnded(m_context.clock.now());
        if (!written) {
            m_feed.dependencyFailed(Dependency::FleetList, written.error());
            scheduleFleetCall(fleetReadInterval, &PlatformSession::refreshFleet);
            return;
        }
        m_publishedClients = self.clients;
        m_isOwnEntryUnread = true;
        auto list = m_fleet;
        insertOwnEntry(list.members);
        applyFleet(std::move(list));
        scheduleFleetCall(registrationDelay, &PlatformSession::readFleet);
    });
}

void PlatformSession::insertOwnEntry(std::vector<FleetMember> &members) const
{
    auto self = m_self;
    self.clients = m_publishedClients;
    std::erase_if(members, [&self](const auto &it) { return it.vm == self.vm; });
    // In the order in which the store returns the entries.
    const auto next = std::find_if(members.begin(), members.end(),
                                   [&self](const auto &it) { return self.vm < it.vm; });
    members.insert(next, std::move(self));
}

void PlatformSession::checkStoreEra()
{
    const auto era = std::max(m_mirror.position(RowTable::Routes).era,
                              m_mirror.position(RowTable::Targets).era);
    if (era <= m_storeEra)
        return;
    m_storeEra = era;
    // The first read of this process is no return.
    if (!m_mirror.hasChangedEra())
        return;
    m_events.record(EventId::StoreReturned, {{"era", std::to_string(era)}});
    if (m_isFleetKnown && isFollowing())
        scheduleFleetCall(registrationDelay, &PlatformSession::refreshFleet);
}

void PlatformSession::retainFleet(const FleetList &list)
{
    if (list.position.era <= m_fleet.position.era || m_fleet.position == StorePosition())
        return;
    m_retainedMembers = membersInForce();
    m_retainedUntil = m_context.clock.now() + memberRetentionTime;
    const auto own = std::find_if(m_fleet.members.begin(), m_fleet.members.end(),
                                  [this](const auto &it) { return it.vm == m_self.vm; });
    if (own != m_fleet.members.end()) {
        m_entryToRestore = m_self;
        // A list from another VM does not have the clients.
        m_entryToRestore->clients = own->clients ? own->clients : m_publishedClients;
    }
}

void PlatformSession::restoreEntry(const FleetList &list)
{
    if (!m_entryToRestore)
        return;
    const auto found = std::find_if(
            list.members.begin(), list.members.end(),
            [this](const auto &it) { return isSameRelay(it, *m_entryToRestore); });
    if (found == list.members.end())
        writeSelf(m_entryToRestore->clients);
    else
        m_entryToRestore.reset();
}

std::vector<FleetMember> PlatformSession::membersInForce() const
{
    auto members = m_fleet.members;
    for (const auto &it : m_retainedMembers) {
        const auto at = std::find_if(members.begin(), members.end(),
                                     [&it](const auto &member) { return !(member.vm < it.vm); });
        if (at == members.end() || at->vm != it.vm)
            members.insert(at, it);
    }
    return members;
}

void PlatformSession::expireRetained(TimePoint now)
{
    m_mirror.expireRetained(now);
    if (m_retainedMembers.empty() || now < m_retainedUntil)
        return;
    m_retainedMembers.clear();
    m_plan.setFleet(m_fleet.members);
    updateFleetSize(estimateFleetSize(m_fleet.members));
}

void PlatformSession::readFleet()
{
    m_store.readMembers([this](Result<FleetList> list) { handleFleet(std::move(list)); });
}

void PlatformSession::refreshFleet()
{
    if (isFollowing() && !isStoreFailing())
        readFleet();
    else
        scheduleFleetCall(fleetReadInterval, &PlatformSession::refreshFleet);
}

void PlatformSession::handleFleet(Result<FleetList> list)
{
    if (!list) {
        m_feed.dependencyFailed(Dependency::FleetList, list.error());
        if (m_isFleetKnown) {
            scheduleFleetCall(fleetReadInterval, m_isOwnEntryUnread
                                                         ? &PlatformSession::readFleet
                                                         : &PlatformSession::refreshFleet);
            return;
        }
        follow(false);
        scheduleFleetCall(fleetRetryDelay, &PlatformSession::readFleet);
        return;
    }
    m_feed.dependencyResponded(Dependency::FleetList);
    scheduleFleetCall(fleetReadInterval, &PlatformSession::refreshFleet);
    const auto now = m_context.clock.now();
    if (!std::exchange(m_isFleetKnown, true))
        m_storeFollowRule.start(m_isFirstStart, now);
    // An answer from before the store's return.
    if (list.value().position.era < m_fleet.position.era)
        return;
    retainFleet(list.value());
    restoreEntry(list.value());
    if (m_entryToRestore || !m_retainedMembers.empty())
        scheduleFleetCall(returnedFleetReadDelay, &PlatformSession::refreshFleet);
    const bool isOtherEra = list.value().position.era != m_fleet.position.era;
    const bool isNeeded = RelayRegistration::isNeeded(list.value().members, m_plan.failingVms(now),
                                                      m_self);
    // The position is kept if nothing changed, so that an unchanged list is not relayed again.
    const bool isChanged = list.value().members != m_fleet.members;
    if (std::exchange(m_isOwnEntryUnread, false) || isChanged || isOtherEra
        || m_fleet.position == StorePosition())
        applyFleet(std::move(list.value()));
    if (isNeeded && m_retainedMembers.empty())
        writeSelf(std::nullopt);
}

void PlatformSession::applyFleet(FleetList list)
{
    m_fleet = std::move(list);
    const auto members = membersInForce();
    m_plan.setFleet(members);
    m_feed.relaysReceived(m_plan.rankedRelays());
    m_feed.changesComplete();
    updateFleetSize(estimateFleetSize(members));
    supervise();
}

void PlatformSession::updateFleetSize(std::optional<unsigned> vms)
{
    if (!vms || *vms == 0 || *vms == m_fleetSize)
        return;
    m_fleetSize = *vms;
    m_plan.setFleetSize(*vms);
    m_feed.fleetSizeReceived(*vms);
    m_feed.changesComplete();
}

void PlatformSession::fleetReceived(const FleetList *list, unsigned fleetSize)
{
    // Deferred to the timer, since this is called from within a link, which supervise() may close.
    if (list && list->position > m_fleet.position) {
        retainFleet(*list);
        m_fleet = *list;
        // The sender may have read the list before this VM wrote its entry. The list is accepted
        // nevertheless: a VM that keeps its old position is sent the list again at once.
        if (m_isOwnEntryUnread)
            insertOwnEntry(m_fleet.members);
        m_plan.setFleet(membersInForce());
        m_feed.relaysReceived(m_plan.rankedRelays());
        m_feed.changesComplete();
        scheduleSupervision(Duration::zero());
        restoreEntry(*list);
    }
    updateFleetSize(fleetSize);
}

void PlatformSession::publishClients()
{
    if (m_isWritingSelf)
        return;
    auto clients = m_clients.toPublish(m_fleet.members, m_self.vm, m_context.clock.now());
    if (clients)
        writeSelf(std::move(clients));
}

void PlatformSession::scheduleSupervision(Duration delay)
{
    m_superviseTimer.expires_after(delay);
    m_superviseTimer.async_wait([this](const auto &ec) {
        if (!ec)
            supervise();
    });
}

void PlatformSession::supervise()
{
    const auto now = m_context.clock.now();
    expireRetained(now);
    auto role = m_plan.role(now);
    if (role.isReader)
        m_clients.beginCounting(now);
    else if (!m_storeFollowRule.isRequested(now))
        m_clients.endCounting();
    if (role.isReader && hasLostStore())
        role.sources = m_plan.otherReaders(now);
    publishClients();
    // Must precede updateLinks(): the response times of links that get replaced still count, so
    // that a switch to another source does not look like a loss of updates.
    recordLinkResponses();
    updateLinks(role);
    switch (m_storeFollowRule.decide(role.isReader, now)) {
    case StoreFollowMode::Unchanged:
        break;
    case StoreFollowMode::Stop:
        stopFollowing();
        break;
    case StoreFollowMode::Follow:
        follow(false);
        break;
    case StoreFollowMode::FollowClosely:
        follow(true);
        break;
    }
    notifyOnStateChange();
    logRole(role);
    logFreshness(now);
    scheduleSupervision(superviseDelay(now));
}

Duration PlatformSession::superviseDelay(TimePoint now) const
{
    const bool isRelayed = !isFollowing() && !m_links.empty()
                           && m_links.front()->completeUntil().has_value();
    auto delay = m_storeFollowRule.timeToNextDecision(
            isRelayed ? relayedSuperviseInterval : superviseInterval, now);
    if (const auto until = confirmedUntil(); until && isUpToDate())
        delay = std::min(delay, *until + m_freshnessBounds.maxRelayedAge + afterExpiry - now);
    return delay;
}

void PlatformSession::updateLinks(const RelayRole &role)
{
    std::erase_if(m_links, [&role](const auto &it) {
        const bool isWanted = std::any_of(
                role.sources.begin(), role.sources.end(),
                [&it](const auto &source) { return isSameRelay(source, it->member()); });
        if (!isWanted)
            it->stop();
        return !isWanted;
    });
    for (const auto &member : role.sources) {
        const bool isOpen = std::any_of(m_links.begin(), m_links.end(), [&member](const auto &it) {
            return isSameRelay(it->member(), member);
        });
        if (isOpen)
            continue;
        m_links.push_back(
                std::make_shared<RelayLink>(m_context, m_mirror, m_self.vm, member, *this));
        m_links.back()->start();
    }
}

void PlatformSession::linkFailed(const FleetMember &member)
{
    m_plan.recordFailure(member.vm, m_context.clock.now());
    m_events.record(EventId::RelayLinkFailed, {{"source", member.vm.string()}});
    // Deferred to the timer, since this is called from within the failed link.
    scheduleSupervision(m_storeFollowRule.nextLinkBackoff());
}

void PlatformSession::logRole(const RelayRole &role)
{
    std::string text = role.isReader ? "reader" : role.sources.empty() ? "alone" : "fed-by";
    if (role.isReader && !role.sources.empty())
        text += " fed-by";
    for (const auto &it : role.sources)
        text += ' ' + it.vm.string();
    if (text == m_loggedRole)
        return;
    m_loggedRole = text;
    m_events.record(EventId::RelayRoleChanged, {{"role", text}});
}

void PlatformSession::logFreshness(TimePoint now)
{
    const auto age = [&](RowTable table) { return now - m_mirror.origin(table).completeUntil; };
    const auto *oldest = std::max_element(rowTables.begin(), rowTables.end(),
                                          [&](auto a, auto b) { return age(a) < age(b); });
    if (!m_mirror.isKnown(*oldest))
        return;
    const bool isOutdated = age(*oldest) > m_maxChangeDelay;
    if (std::exchange(m_areTablesOutdated, isOutdated) == isOutdated)
        return;
    m_events.record(isOutdated ? EventId::TablesOutdated : EventId::TablesCurrent,
                    {{"table", std::string(nameOf(dependencyOf(*oldest)))},
                     {"age_ms", std::to_string(toMilliseconds(age(*oldest)))},
                     {"source", m_mirror.origin(*oldest).name()}});
}

void PlatformSession::scheduleFleetCall(Duration delay, void (PlatformSession::*action)())
{
    // Jitter of 25 % keeps VMs that start together from calling at the same time.
    m_fleetTimer.expires_after(duration_cast<Duration>(delay * (0.75 + m_random.unit() / 2)));
    m_fleetTimer.async_wait([this, action](const auto &ec) {
        if (!ec)
            (this->*action)();
    });
}

} // namespace Sapphireladder
