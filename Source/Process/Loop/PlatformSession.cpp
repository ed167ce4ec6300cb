#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/** Delay before the first read of the fleet list, so that VMs starting together are all in it. */
constexpr Duration firstFleetReadDelay = 2s;
/**
 * Interval between reads of the fleet list. Retry budgets and load probe rates depend on the fleet
 * size, which changes within minutes, as VMs come and go.
 */
constexpr Duration fleetReadInterval = 60s;
constexpr Duration fleetRetryDelay = 5s;
/** Long-poll wait of a VM that follows the store only for itself. */
constexpr Duration standalonePollWait = 10s;
/** Long-poll wait of a relaying VM. Frequent responses show that it still reaches the store. */
constexpr Duration readerPollWait = 1200ms;
/** Maximum age of the last store response for which a VM may relay changes to others. */
constexpr Duration maxResponseAge = 1600ms;
/** Time allowed for the first store responses before a VM reports the store as unreachable. */
constexpr Duration startupTimeout = 1s;
/** Interval between checks of the relay links and table followers. */
constexpr Duration superviseInterval = 250ms;
/**
 * Retry backoff of a VM in a large fleet that follows the store only for itself. In that case all
 * VMs call the store, and all have to be up to date within 3 s of its recovery. Doubling the
 * initial delay caused five calls per VM in the first 3 s of an outage.
 */
constexpr RetryBackoff largeFleetBackoff{2s, 20};
/** Fraction of the bound on change propagation that is spent batching changes at the store. */
constexpr double batchShare = 0.25;

} // namespace

PlatformSession::PlatformSession(LoopContext &context, PlatformStore &store,
                                 const RowTranslator &translator, PlatformFeed &feed,
                                 EventSink &events, const GatewaySettings &settings)
    : m_context(context)
    , m_store(store)
    , m_feed(feed)
    , m_events(events)
    , m_self{settings.vm, settings.zone, settings.relayEndpoint}
    , m_mirror(translator, feed)
    , m_followers{makeFollower(store, RowTable::Routes, settings.maxChangeDelay),
                  makeFollower(store, RowTable::Targets, settings.maxChangeDelay)}
    , m_server(context, m_mirror, *this)
    , m_plan(m_self)
    , m_fleetTimer(context.io)
    , m_superviseTimer(context.io)
    , m_isFirstStart(settings.isFirstStart)
{
    m_followers.front().yieldTo(m_followers.back());
    m_mirror.setChangeHandler([this] { m_server.respondToPending(); });
}

Result<> PlatformSession::start()
{
    TRY(m_server.listen(m_self.relayEndpoint));
    // The tables are read once the fleet is known, since most VMs receive them from other VMs.
    if (m_isFirstStart)
        registerSelf();
    else
        readFleet();
    return success();
}

TableFollower PlatformSession::makeFollower(PlatformStore &store, RowTable table,
                                            Duration maxChangeDelay)
{
    return {m_context,
            store,
            m_mirror,
            m_feed,
            table,
            duration_cast<Duration>(maxChangeDelay * batchShare),
            [this, table] {
                if (table == RowTable::Targets)
                    m_followers.front().resume();
                notifyOnStateChange();
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
    // Frequent calls for one table are enough to show that the store is reachable.
    m_followers.back().setPollWait(isReader ? readerPollWait : standalonePollWait);
    const bool usesLargeFleetBackoff = !isReader && m_plan.fleetSize() >= RelayPlan::minFleetSize;
    m_followers.back().setRetryBackoff(usesLargeFleetBackoff ? largeFleetBackoff : RetryBackoff());
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
    const bool isFailing = std::any_of(m_followers.begin(), m_followers.end(),
                                       [](const auto &it) { return it.isFailing(); });
    const bool isNew = m_context.clock.now() - m_followingSince < startupTimeout;
    return isFollowing() && isNew && !isFailing ? RelayState::Starting : RelayState::Unavailable;
}

void PlatformSession::queryReceived()
{
    m_storeFollowRule.recordRequest(m_context.clock.now());
    follow(true);
}

void PlatformSession::notifyOnStateChange()
{
    // Pending queries get a response when the store becomes unreachable, so that those VMs switch
    // to another source at once.
    const bool isNowUpToDate = isUpToDate();
    if (std::exchange(m_wasUpToDate, isNowUpToDate) != isNowUpToDate)
        m_server.respondToPending();
}

bool PlatformSession::isUpToDate() const
{
    const auto now = m_context.clock.now();
    return std::all_of(m_followers.begin(), m_followers.end(),
                       [](const auto &it) { return it.isRunning() && it.lastResponseAt(); })
           && now - *m_followers.back().lastResponseAt() <= maxResponseAge;
}

void PlatformSession::recordLinkResponses()
{
    for (const auto &it : m_links) {
        if (it->lastResponseAt())
            m_storeFollowRule.recordUpdate(*it->lastResponseAt());
    }
}

void PlatformSession::registerSelf()
{
    m_store.writeMember(m_self, [this](Result<> written) {
        if (!written) {
            m_feed.dependencyFailed(Dependency::FleetList, written.error());
            follow(false);
            scheduleFleetCall(fleetRetryDelay, &PlatformSession::registerSelf);
            return;
        }
        scheduleFleetCall(m_isFleetKnown ? fleetReadInterval : firstFleetReadDelay,
                          &PlatformSession::readFleet);
    });
}

void PlatformSession::registerSelfIfMissing(std::span<const FleetMember> members)
{
    if (std::find(members.begin(), members.end(), m_self) == members.end())
        registerSelf();
}

void PlatformSession::readFleet()
{
    m_store.readMembers([this](Result<std::vector<FleetMember>> members) {
        handleMembers(std::move(members));
    });
}

void PlatformSession::handleMembers(Result<std::vector<FleetMember>> members)
{
    if (!members) {
        m_feed.dependencyFailed(Dependency::FleetList, members.error());
        follow(false);
        scheduleFleetCall(fleetRetryDelay, &PlatformSession::readFleet);
        return;
    }
    m_feed.dependencyResponded(Dependency::FleetList);
    m_plan.setFleet(members.value());
    m_feed.fleetSizeReceived(static_cast<unsigned>(m_plan.fleetSize()));
    m_feed.changesComplete();
    scheduleFleetCall(fleetReadInterval, &PlatformSession::readFleet);
    if (!std::exchange(m_isFleetKnown, true))
        m_storeFollowRule.start(m_isFirstStart, m_context.clock.now());
    registerSelfIfMissing(members.value());
    if (m_plan.fleetSize() >= RelayPlan::minFleetSize)
        supervise();
    else
        follow(false);
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
    const auto role = m_plan.role(now);
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
    scheduleSupervision(m_storeFollowRule.timeToNextDecision(superviseInterval, now));
}

void PlatformSession::updateLinks(const RelayRole &role)
{
    std::erase_if(m_links, [&role](const auto &it) {
        const bool isWanted = std::find(role.sources.begin(), role.sources.end(), it->member())
                              != role.sources.end();
        if (!isWanted)
            it->stop();
        return !isWanted;
    });
    for (const auto &member : role.sources) {
        const bool isOpen = std::any_of(m_links.begin(), m_links.end(), [&member](const auto &it) {
            return it->member() == member;
        });
        if (isOpen)
            continue;
        m_links.push_back(std::make_shared<RelayLink>(
                m_context, m_mirror, member, [this](const auto &failed) { linkFailed(failed); }));
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
    for (const auto &it : role.sources)
        text += ' ' + it.vm.string();
    if (text == m_loggedRole)
        return;
    m_loggedRole = text;
    m_events.record(EventId::RelayRoleChanged, {{"role", text}});
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
