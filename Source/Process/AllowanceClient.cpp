#include "Process/Process.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

/** Collectors whose rank, counted from 0, has the slot's parity, then the others. Each slot thus
 * has a collector of its own while two are there. */
std::vector<Endpoint> orderForSlot(std::span<const Endpoint> collectors, unsigned slot)
{
    std::vector<Endpoint> order;
    for (unsigned pass = 0; pass < AllowanceClient::slotCount; ++pass) {
        const auto first = (slot + pass) % AllowanceClient::slotCount;
        for (std::size_t i = first; i < collectors.size(); i += AllowanceClient::slotCount)
            order.push_back(collectors[i]);
    }
    return order;
}

} // namespace

AllowanceClient::AllowanceClient(std::uint64_t owner, const Clock &clock,
                                 AllowanceTransport &transport, EventSink &events,
                                 bool isFleetCounted)
    : m_owner(owner)
    , m_clock(clock)
    , m_transport(transport)
    , m_events(events)
    , m_estimate(isFleetCounted)
    , m_delegations{AllowanceDelegation({owner, 0}, clock.now() + delegationTime),
                    AllowanceDelegation({owner, 1}, clock.now() + delegationTime)}
{}

void AllowanceClient::setWorkspaces(std::span<const Workspace> workspaces,
                                    const AllowancePolicy &policy)
{
    m_isActive = std::any_of(workspaces.begin(), workspaces.end(),
                             [](const auto &it) { return it.isLimited(); });
    m_ownPool.setWorkspaces(workspaces, policy, m_clock.now());
    std::erase_if(m_states, [&](const auto &it) {
        const bool isListed = std::any_of(workspaces.begin(), workspaces.end(),
                                          [&](const auto &w) { return w.name == it.first; });
        return !isListed && it.second.waiters.empty();
    });
}

void AllowanceClient::setCollectors(std::span<const Endpoint> collectors)
{
    for (unsigned slot = 0; slot < slotCount; ++slot)
        m_delegations[slot].setCollectors(orderForSlot(collectors, slot));
}

void AllowanceClient::setFleetSize(unsigned vms)
{
    m_estimate.setFleetSize(vms, m_clock.now());
}

std::optional<TimePoint> AllowanceClient::tick()
{
    const auto now = m_clock.now();
    std::optional<TimePoint> next;
    const auto callAt = [&next](TimePoint time) { next = next ? std::min(*next, time) : time; };
    if (m_isActive) {
        for (auto &it : m_delegations) {
            it.tick(slotShare(now), now, m_transport);
            callAt(it.nextTick(now));
        }
        updateOwnShares(now);
        logCollectors();
    }
    while (!m_askOrder.empty()) {
        const auto it = m_asks.find(m_askOrder.front());
        if (it != m_asks.end() && now - it->second.sentAt < AllowanceRate::tokenLifetime)
            break;
        if (it != m_asks.end())
            m_asks.erase(it);
        m_askOrder.pop_front();
    }
    for (const auto &name : std::exchange(m_waiting, {})) {
        const auto it = m_states.find(name);
        if (it == m_states.end())
            continue;
        process(name, it->second, now);
        if (it->second.waiters.empty())
            continue;
        callAt(it->second.waiters.front().since + maxWait);
        for (const auto &slot : it->second.slots) {
            if (slot.ask && slot.ask->nextAttemptAt > now)
                callAt(slot.ask->nextAttemptAt);
        }
    }
    return next;
}

void AllowanceClient::updateOwnShares(TimePoint now)
{
    for (unsigned slot = 0; slot < slotCount; ++slot) {
        const AllowanceShareKey key{m_owner, slot};
        if (m_delegations[slot].isOwn(now))
            m_ownPool.setShare(key, slotShare(now), TimePoint::max(), now);
        else
            m_ownPool.removeShare(key, now);
    }
}

void AllowanceClient::receive(const Endpoint &sender, const AllowanceMessage &message)
{
    const auto now = m_clock.now();
    if (const auto *grant = std::get_if<TokenAnswer>(&message)) {
        answered(*grant, now);
        return;
    }
    const auto *answer = std::get_if<DelegateAnswer>(&message);
    if (!answer || answer->slot >= slotCount || !m_isActive)
        return;
    m_delegations[answer->slot].answered(sender, *answer, slotShare(now), now, m_transport);
    updateOwnShares(now);
    logCollectors();
}

void AllowanceClient::answered(const TokenAnswer &answer, TimePoint now)
{
    const auto record = m_asks.extract(answer.id);
    if (!record)
        return;
    const auto &ask = record.mapped();
    const auto it = m_states.find(ask.workspace);
    if (it == m_states.end())
        return;
    auto &state = it->second;
    auto &slot = state.slots[ask.slot];
    unsigned wanted = answer.count;
    if (slot.ask && slot.ask->id == answer.id) {
        wanted = slot.ask->count;
        slot.ask.reset();
    }
    // The tokens were taken after the request was sent.
    const auto expiry = ask.sentAt + AllowanceRate::tokenLifetime;
    if (now < expiry) {
        const auto position = std::upper_bound(state.tokens.begin(), state.tokens.end(), expiry);
        state.tokens.insert(position, std::min(answer.count, wanted), expiry);
    }
    if (answer.count < wanted) {
        slot.emptyUntil = now + std::clamp(answer.emptyFor, Duration::zero(), maxEmptyTime);
        slot.retryAt = now
                       + std::clamp(answer.retryAfter, Duration::zero(), AllowancePool::maxWait);
    }
    process(ask.workspace, state, now);
}

void AllowanceClient::acquire(const Workspace &workspace, Handler handler)
{
    const auto now = m_clock.now();
    if (!m_isActive) {
        // The request came with another version of the routes than the one in force.
        handler({});
        return;
    }
    auto &state = m_states[workspace.name];
    state.waiters.push_back({std::move(handler), now});
    process(workspace.name, state, now);
}

bool AllowanceClient::tryAcquire(const Workspace &workspace)
{
    auto &state = m_states[workspace.name];
    // Requests that wait come first.
    return state.waiters.empty() && takeToken(workspace.name, state, m_clock.now());
}

void AllowanceClient::giveBack(const Workspace &workspace)
{
    const auto now = m_clock.now();
    const auto it = m_states.find(workspace.name);
    if (it == m_states.end())
        return;
    auto &state = it->second;
    expireTokens(state, now);
    if (state.used.empty())
        return;
    // Which token the request had is not known, so that the earliest expiry is assumed.
    const auto expiry = state.used.front();
    state.used.pop_front();
    state.tokens.insert(std::upper_bound(state.tokens.begin(), state.tokens.end(), expiry), expiry);
}

void AllowanceClient::expireTokens(WorkspaceState &state, TimePoint now)
{
    for (; !state.tokens.empty() && state.tokens.front() <= now; state.tokens.pop_front())
        ++m_counters.expiredTokens;
    while (!state.used.empty() && state.used.front() <= now)
        state.used.pop_front();
}

bool AllowanceClient::takeToken(const std::string &name, WorkspaceState &state, TimePoint now)
{
    expireTokens(state, now);
    auto expiry = now + AllowanceRate::tokenLifetime;
    if (!state.tokens.empty()) {
        expiry = state.tokens.front();
        state.tokens.pop_front();
    } else if (m_ownPool.take(name, 1, now) > 0) {
        ++m_counters.ownTokens;
    } else {
        return false;
    }
    state.used.insert(std::upper_bound(state.used.begin(), state.used.end(), expiry), expiry);
    return true;
}

void AllowanceClient::serveWaiters(const std::string &name, WorkspaceState &state, TimePoint now)
{
    while (!state.waiters.empty() && takeToken(name, state, now)) {
        const auto handler = std::move(state.waiters.front().handler);
        state.waiters.pop_front();
        ++m_counters.granted;
        handler({});
    }
}

void AllowanceClient::process(const std::string &name, WorkspaceState &state, TimePoint now)
{
    serveWaiters(name, state, now);
    if (state.waiters.empty())
        return;
    const bool isAnswerDue = askCollectors(name, state, now);
    std::size_t keep = 0;
    if (isAnswerDue) {
        const auto first = std::find_if(state.waiters.begin(), state.waiters.end(),
                                        [&](auto &it) { return now - it.since < maxWait; });
        keep = static_cast<std::size_t>(state.waiters.end() - first);
    }
    refuseWaiters(name, state, keep, now);
    if (!state.waiters.empty()
        && std::find(m_waiting.begin(), m_waiting.end(), name) == m_waiting.end())
        m_waiting.push_back(name);
}

bool AllowanceClient::askCollectors(const std::string &name, WorkspaceState &state, TimePoint now)
{
    bool isAnswerDue = false;
    const auto waiters = static_cast<unsigned>(state.waiters.size());
    for (unsigned i = 0; i < slotCount; ++i) {
        // Half of the VMs ask the first collector first.
        const auto index = (i + static_cast<unsigned>(m_owner % slotCount)) % slotCount;
        auto &slot = state.slots[index];
        const auto &collector = m_delegations[index].collector();
        if (slot.ask && now - slot.ask->sentAt >= AllowanceRate::tokenLifetime)
            slot.ask.reset();
        if (!slot.ask) {
            if (!collector || now < slot.emptyUntil)
                continue;
            const bool isSame = i > 0 && collector == m_delegations[1 - index].collector();
            if (isSame)
                continue;
            slot.ask = PendingAsk{++m_lastAskId, waiters, now, now + answerTimeout, 1};
            m_asks.emplace(m_lastAskId, AskRecord{name, index, now});
            m_askOrder.push_back(m_lastAskId);
            ++m_counters.asked;
            send(name, *slot.ask, index);
            return true;
        }
        isAnswerDue = true;
        if (now < slot.ask->nextAttemptAt)
            return true;
        if (slot.ask->attempts < maxAttempts) {
            ++slot.ask->attempts;
            slot.ask->nextAttemptAt = now + answerTimeout;
            send(name, *slot.ask, index);
            return true;
        }
        if (slot.ask->attempts == maxAttempts) {
            ++slot.ask->attempts;
            ++m_counters.unanswered;
        }
        // The answer still counts if it arrives; meanwhile, the other collector is asked.
    }
    return isAnswerDue;
}

void AllowanceClient::send(const std::string &name, const PendingAsk &ask, unsigned slot)
{
    const auto &collector = m_delegations[slot].collector();
    if (collector)
        m_transport.send(*collector, TokenRequest{m_owner, ask.id, name, ask.count});
}

void AllowanceClient::refuseWaiters(const std::string &name, WorkspaceState &state,
                                    std::size_t keep, TimePoint now)
{
    while (state.waiters.size() > keep) {
        const auto handler = std::move(state.waiters.front().handler);
        state.waiters.pop_front();
        ++m_counters.refused;
        logRefusal(name, state, now);
        handler({false, retryAfter(state, now)});
    }
}

Duration AllowanceClient::retryAfter(const WorkspaceState &state, TimePoint now) const
{
    auto earliest = TimePoint::max();
    for (const auto &it : state.slots) {
        if (it.retryAt > now)
            earliest = std::min(earliest, it.retryAt);
    }
    return earliest == TimePoint::max() ? standardRetryAfter : earliest - now;
}

void AllowanceClient::logRefusal(const std::string &name, WorkspaceState &state, TimePoint now)
{
    ++state.refusedSinceEvent;
    if (now < state.nextEventAt)
        return;
    state.nextEventAt = now + eventInterval;
    m_events.record(EventId::AllowanceExceeded,
                    {{"workspace", name}, {"requests", std::to_string(state.refusedSinceEvent)}});
    state.refusedSinceEvent = 0;
}

void AllowanceClient::logCollectors()
{
    std::string text;
    for (const auto &it : m_delegations) {
        if (!text.empty())
            text += ' ';
        text += it.collector() ? it.collector()->toString() : "none";
    }
    if (text == m_loggedCollectors)
        return;
    m_loggedCollectors = text;
    m_events.record(EventId::AllowanceCollectorsChanged, {{"collectors", text}});
}

double AllowanceClient::delegatedShare()
{
    const auto now = m_clock.now();
    const auto n = std::count_if(m_delegations.begin(), m_delegations.end(),
                                 [now](const auto &it) { return it.isDelegated(now); });
    return slotShare(now) * static_cast<double>(n);
}

unsigned AllowanceClient::collectorCount() const
{
    return static_cast<unsigned>(
            std::count_if(m_delegations.begin(), m_delegations.end(),
                          [](const auto &it) { return it.collector().has_value(); }));
}

} // namespace Sapphireladder
