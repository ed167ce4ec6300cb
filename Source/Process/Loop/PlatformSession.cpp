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
/** Time for the first word of other VMs, before a VM that has just started follows the store. */
constexpr Duration firstWordTime = 700ms;
/** Age of the newest word of other VMs up to which this VM needs no store. They speak each second.
 */
constexpr Duration fedAge = 1600ms;
/** Time for which links must have told changes before the VM stops following the store. */
constexpr Duration settleTime = 2s;
/** Time between two looks at links and followers. */
constexpr Duration superviseInterval = 250ms;
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
    , m_followers{TableFollower(context, store, m_mirror, feed, RowTable::Routes,
                                duration_cast<Duration>(settings.changeBound * gatherShare)),
                  TableFollower(context, store, m_mirror, feed, RowTable::Targets,
                                duration_cast<Duration>(settings.changeBound * gatherShare))}
    , m_server(context, m_mirror, [this] { return isFollowingClosely(); })
    , m_plan(m_self)
    , m_fleetTimer(context.io)
    , m_superviseTimer(context.io)
{
    m_mirror.setChangeHandler([this] { m_server.answerWaiting(); });
}

Result<> PlatformSession::start()
{
    TRY(m_server.listen(m_self.relayEndpoint));
    // The store is followed once the fleet is known: most VMs then hear of changes from others.
    for (auto &it : m_followers)
        it.read();
    listSelf();
    return success();
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

bool PlatformSession::isFollowingClosely() const
{
    const auto now = m_context.clock.now();
    return std::all_of(m_followers.begin(), m_followers.end(),
                       [](const auto &it) { return it.isRunning() && it.answeredAt(); })
           && now - *m_followers.back().answeredAt() <= closeAge;
}

bool PlatformSession::isFed() const
{
    const auto now = m_context.clock.now();
    return std::any_of(m_links.begin(), m_links.end(), [now](const auto &it) {
        return it->answeredAt() && now - *it->answeredAt() <= fedAge;
    });
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
        callAfter(firstCountDelay, &PlatformSession::countFleet);
    });
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
        m_firstWordUntil = m_context.clock.now() + firstWordTime;
    if (m_plan.fleetSize() >= RelayPlan::minFleet)
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
    openLinks(role);
    if (!isFed())
        m_fedSince.reset();
    else if (!m_fedSince)
        m_fedSince = now;
    if (m_fedSince && now - *m_fedSince >= settleTime)
        leaveStore();
    else if (role.isReader || (!m_fedSince && now >= m_firstWordUntil))
        follow(role.isReader);
    // Waiting VMs turn to another one as soon as this one has lost the store.
    const bool isClose = isFollowingClosely();
    if (std::exchange(m_wasClose, isClose) && !isClose)
        m_server.answerWaiting();
    logRole(role);
    superviseAfter(superviseInterval);
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
        if (isOpen || !m_mirror.isKnown(RowTable::Routes) || !m_mirror.isKnown(RowTable::Targets))
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
    superviseAfter(Duration::zero());
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
