#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/** Time after the start until all VMs that start together have listed themselves. */
constexpr Duration firstCountDelay = 2s;
/** Time between two counts of the fleet. Budgets use it; VMs come and go within minutes. */
constexpr Duration countInterval = 60s;
constexpr Duration failedCountDelay = 5s;
/** Wait at the store of a VM that follows it for itself only. */
constexpr Duration ownWait = 10s;
/** Wait of a VM that tells others: its answers prove that it still reaches the store. */
constexpr Duration readerWait = 1200ms;
/** Age of the newest answer of the store up to which a VM may speak for it. */
constexpr Duration closeAge = 1600ms;
/** Time for the first answers of the store, before a VM that others ask counts as cut off. */
constexpr Duration closeStartTime = 1s;
/** Time between two looks at links and followers. */
constexpr Duration superviseInterval = 250ms;
/**
 * Calls of a VM of a large fleet that follows the store for itself only: all of them call then.
 * Within 3 s of the store's return every VM has to know what changed. Doubling from the first delay
 * made each VM call five times in the first 3 s of an outage.
 */
constexpr RetryPace manyRetryPace{2s, 20};
/** Share of the bound on changes for which changes may gather at the store. */
constexpr double gatherShare = 0.25;

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
    m_mirror.setChangeHandler([this] { m_server.answerWaiting(); });
}

Result<> PlatformSession::start()
{
    TRY(m_server.listen(m_self.relayEndpoint));
    // The tables are read once the fleet is known: most VMs hear of them from others.
    if (m_isFirstStart)
        listSelf();
    else
        countFleet();
    return success();
}

TableFollower PlatformSession::makeFollower(PlatformStore &store, RowTable table,
                                            Duration changeBound)
{
    return {m_context,
            store,
            m_mirror,
            m_feed,
            table,
            duration_cast<Duration>(changeBound * gatherShare),
            [this, table] {
                if (table == RowTable::Targets)
                    m_followers.front().resume();
                tellIfClose();
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
    // One table that is asked often proves for both that the store is reached.
    m_followers.back().setWait(isReader ? readerWait : ownWait);
    const bool isOneOfMany = !isReader && m_plan.fleetSize() >= RelayPlan::minFleetSize;
    m_followers.back().setRetryPace(isOneOfMany ? manyRetryPace : RetryPace());
    if (!isFollowing())
        m_followingSince = m_context.clock.now();
    for (auto &it : m_followers) {
        if (!it.isRunning())
            it.start();
    }
}

void PlatformSession::leaveStore()
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
    if (isFollowingClosely())
        return RelayState::Close;
    const bool isFailing = std::any_of(m_followers.begin(), m_followers.end(),
                                       [](const auto &it) { return it.isFailing(); });
    const bool isNew = m_context.clock.now() - m_followingSince < closeStartTime;
    return isFollowing() && isNew && !isFailing ? RelayState::Starting : RelayState::Lost;
}

void PlatformSession::asked()
{
    m_storeFollowRule.recordRequest(m_context.clock.now());
    follow(true);
}

void PlatformSession::tellIfClose()
{
    // VMs that wait for an answer turn to another VM as soon as this one has lost the store.
    const bool isClose = isFollowingClosely();
    if (std::exchange(m_wasClose, isClose) != isClose)
        m_server.answerWaiting();
}

bool PlatformSession::isFollowingClosely() const
{
    const auto now = m_context.clock.now();
    return std::all_of(m_followers.begin(), m_followers.end(),
                       [](const auto &it) { return it.isRunning() && it.answeredAt(); })
           && now - *m_followers.back().answeredAt() <= closeAge;
}

void PlatformSession::noteWords()
{
    for (const auto &it : m_links) {
        if (it->answeredAt())
            m_storeFollowRule.recordUpdate(*it->answeredAt());
    }
}

void PlatformSession::listSelf()
{
    m_store.writeMember(m_self, [this](Result<> written) {
        if (!written) {
            m_feed.dependencyFailed(Dependency::FleetList, written.error());
            follow(false);
            callAfter(failedCountDelay, &PlatformSession::listSelf);
            return;
        }
        callAfter(m_isCounted ? countInterval : firstCountDelay, &PlatformSession::countFleet);
    });
}

void PlatformSession::listSelfIfMissing(std::span<const FleetMember> members)
{
    if (std::find(members.begin(), members.end(), m_self) == members.end())
        listSelf();
}

void PlatformSession::countFleet()
{
    m_store.readMembers(
            [this](Result<std::vector<FleetMember>> members) { membersRead(std::move(members)); });
}

void PlatformSession::membersRead(Result<std::vector<FleetMember>> members)
{
    if (!members) {
        m_feed.dependencyFailed(Dependency::FleetList, members.error());
        follow(false);
        callAfter(failedCountDelay, &PlatformSession::countFleet);
        return;
    }
    m_feed.dependencyAnswered(Dependency::FleetList);
    m_plan.setFleet(members.value());
    m_feed.fleetCounted(static_cast<unsigned>(m_plan.fleetSize()));
    m_feed.changesComplete();
    callAfter(countInterval, &PlatformSession::countFleet);
    if (!std::exchange(m_isCounted, true))
        m_storeFollowRule.start(m_isFirstStart, m_context.clock.now());
    listSelfIfMissing(members.value());
    if (m_plan.fleetSize() >= RelayPlan::minFleetSize)
        supervise();
    else
        follow(false);
}

void PlatformSession::superviseAfter(Duration delay)
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
    // Before links are replaced: a VM that turns to another source is not cut off meanwhile.
    noteWords();
    openLinks(role);
    switch (m_storeFollowRule.decide(role.isReader, now)) {
    case StoreFollowMode::Unchanged:
        break;
    case StoreFollowMode::Stop:
        leaveStore();
        break;
    case StoreFollowMode::Follow:
        follow(false);
        break;
    case StoreFollowMode::FollowClosely:
        follow(true);
        break;
    }
    tellIfClose();
    logRole(role);
    superviseAfter(m_storeFollowRule.timeToNextDecision(superviseInterval, now));
}

void PlatformSession::openLinks(const RelayRole &role)
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
    // Not from here: the link that failed is still at work.
    superviseAfter(m_storeFollowRule.nextLinkBackoff());
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

void PlatformSession::callAfter(Duration delay, void (PlatformSession::*action)())
{
    // VMs that start together do not call together.
    m_fleetTimer.expires_after(duration_cast<Duration>(delay * (0.75 + m_random.unit() / 2)));
    m_fleetTimer.async_wait([this, action](const auto &ec) {
        if (!ec)
            (this->*action)();
    });
}

} // namespace Sapphireladder
