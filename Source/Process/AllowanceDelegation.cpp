#include "Process/Process.h"

#include <algorithm>
#include <utility>

namespace Sapphireladder {

void AllowanceShareEstimate::setFleetSize(unsigned vms, TimePoint now)
{
    update(now);
    if (vms >= m_fleetSize) {
        m_fleetSize = vms;
        m_smallerSince.reset();
        return;
    }
    if (std::exchange(m_isFirstComplete, false)) {
        m_fleetSize = std::max(1U, vms);
        return;
    }
    if (!m_smallerSince) {
        m_smallerSince = now;
        m_smallerFleetSize = vms;
        return;
    }
    m_smallerFleetSize = std::max(m_smallerFleetSize, vms);
}

void AllowanceShareEstimate::update(TimePoint now)
{
    if (!m_smallerSince || now - *m_smallerSince < shrinkDelay)
        return;
    m_fleetSize = std::max(1U, m_smallerFleetSize);
    m_smallerSince.reset();
}

double AllowanceShareEstimate::share(TimePoint now)
{
    update(now);
    return 1.0 / m_fleetSize;
}

void AllowanceDelegation::setCollectors(std::vector<Endpoint> collectors)
{
    if (collectors == m_collectors)
        return;
    m_collectors = std::move(collectors);
    m_searchIndex = 0;
    m_better.reset();
    std::erase_if(m_failedAt, [this](const auto &it) {
        return std::find(m_collectors.begin(), m_collectors.end(), it.first) == m_collectors.end();
    });
}

bool AllowanceDelegation::isFailing(const Endpoint &collector, TimePoint now) const
{
    const auto it = m_failedAt.find(collector);
    return it != m_failedAt.end() && now - it->second < failureRetention;
}

std::optional<Endpoint> AllowanceDelegation::preferred(TimePoint now) const
{
    const auto it = std::find_if(m_collectors.begin(), m_collectors.end(),
                                 [&](const auto &endpoint) { return !isFailing(endpoint, now); });
    return it == m_collectors.end() ? std::nullopt : std::optional(*it);
}

void AllowanceDelegation::tick(double share, TimePoint now, AllowanceTransport &transport)
{
    if (m_collector && now - m_answeredAt > silenceLimit) {
        m_failedAt[*m_collector] = now;
        m_collector.reset();
        m_takeBackSequence.reset();
        m_next.reset();
        m_better.reset();
        m_searchIndex = 0;
        m_nextSendAt = now;
    }
    if (!m_collector) {
        if (now >= m_nextSendAt)
            search(now, transport);
        return;
    }
    if (now >= m_nextBetterProbeAt)
        probeBetter(now, transport);
    if (now >= m_nextSendAt)
        sendToCollector(share, now, transport);
}

void AllowanceDelegation::search(TimePoint now, AllowanceTransport &transport)
{
    m_nextSendAt = now + searchInterval;
    if (m_collectors.empty())
        return;
    // One round over those that are not known to fail, then one over all.
    for (std::size_t i = 0; i < m_collectors.size(); ++i) {
        const auto position = m_searchIndex++ % (2 * m_collectors.size());
        const auto &it = m_collectors[position % m_collectors.size()];
        if (position < m_collectors.size() && isFailing(it, now))
            continue;
        sendProbe(it, transport);
        return;
    }
}

void AllowanceDelegation::probeBetter(TimePoint now, AllowanceTransport &transport)
{
    m_nextBetterProbeAt = now + betterProbeInterval;
    const auto best = preferred(now);
    if (!best || best == m_collector || m_next) {
        m_better.reset();
        return;
    }
    if (m_better != best)
        m_betterAnswerCount = 0;
    m_better = best;
    sendProbe(*best, transport);
}

void AllowanceDelegation::sendProbe(const Endpoint &collector, AllowanceTransport &transport)
{
    DelegateMessage message;
    message.key = m_key;
    message.sequence = ++m_sequence;
    transport.send(collector, message);
}

void AllowanceDelegation::sendToCollector(double share, TimePoint now,
                                          AllowanceTransport &transport)
{
    m_nextSendAt = now + renewInterval;
    DelegateMessage message;
    message.key = m_key;
    message.sequence = ++m_sequence;
    if (m_next) {
        if (!m_takeBackSequence)
            m_takeBackSequence = message.sequence;
    } else if (isOwn(now) || (m_holder == m_collector && m_holderId == m_lastAnswer.collector)) {
        message.collector = m_lastAnswer.collector;
        message.collectorTime = m_lastAnswer.collectorTime;
        message.share = share;
        m_holder = m_collector;
        m_holderId = message.collector;
        m_holderSequence = message.sequence;
        m_freeAt = now + delegationTime;
    } else {
        // The share is still in use elsewhere.
        m_nextSendAt = std::min(m_nextSendAt, m_freeAt);
    }
    transport.send(*m_collector, message);
}

void AllowanceDelegation::use(const Endpoint &collector, const DelegateAnswer &answer,
                              TimePoint now)
{
    m_collector = collector;
    m_lastAnswer = answer;
    m_answeredAt = now;
    m_takeBackSequence.reset();
    m_next.reset();
    m_better.reset();
    m_failedAt.erase(collector);
    m_nextSendAt = now;
    m_nextBetterProbeAt = now + betterProbeInterval;
}

void AllowanceDelegation::answered(const Endpoint &sender, const DelegateAnswer &answer,
                                   double share, TimePoint now, AllowanceTransport &transport)
{
    if (answer.sequence > m_sequence || answer.slot != m_key.slot)
        return;
    if (!m_collector) {
        use(sender, answer, now);
        sendToCollector(share, now, transport);
        return;
    }
    if (sender == m_better && sender != m_collector) {
        if (++m_betterAnswerCount >= betterProbeAnswers) {
            m_next = sender;
            m_nextAnswer = answer;
            m_better.reset();
            sendToCollector(share, now, transport);
        }
        return;
    }
    if (sender != m_collector || answer.sequence <= m_lastAnswer.sequence)
        return;
    m_lastAnswer = answer;
    m_answeredAt = now;
    // Two processes cannot receive at one address, so the share ended with the former process.
    const bool isReplaced = answer.collector != m_holderId && answer.sequence > m_holderSequence;
    const bool isTakenBack = m_takeBackSequence && answer.sequence >= *m_takeBackSequence;
    if (m_holder == m_collector && (isReplaced || isTakenBack))
        m_freeAt = std::min(m_freeAt, now);
    if (!isTakenBack)
        return;
    const auto next = std::exchange(m_next, std::nullopt);
    use(*next, m_nextAnswer, now);
    sendToCollector(share, now, transport);
}

TimePoint AllowanceDelegation::nextTick(TimePoint now) const
{
    if (!m_collector)
        return m_collectors.empty() ? now + renewInterval : m_nextSendAt;
    return std::min({m_nextSendAt, m_nextBetterProbeAt, m_answeredAt + silenceLimit + Duration(1)});
}

} // namespace Sapphireladder
