#include "Connection/Loop/ConnectionLoop.h"

#include <algorithm>

namespace Sapphireladder {

Upstream::Upstream(LoopContext &context, const HeaderCodec &headerCodec, EventSink &events,
                   UpstreamCounters &counters, UpstreamSpec spec,
                   std::shared_ptr<TargetEligibility> eligibility)
    : m_context(context)
    , m_headerCodec(headerCodec)
    , m_events(events)
    , m_counters(counters)
    , m_spec(std::move(spec))
    , m_stats(m_spec.slots)
    , m_probeBudget(context.clock.now())
    , m_coldBudget(context.clock.now())
    , m_eligibility(std::move(eligibility))
{}

Upstream::~Upstream()
{
    if (m_probeConnection)
        m_probeConnection->close();
    closeIdle();
}

void Upstream::setWarmupLeft(Duration warmupLeft)
{
    m_coldBudget.registryReported(warmupLeft, m_context.clock.now());
    m_stats.setWarmupEnd(m_coldBudget.coldUntil());
}

bool Upstream::isUsable() const
{
    const auto now = m_context.clock.now();
    return m_eligibility->isUsable(now) && m_coldBudget.canSend(now);
}

void Upstream::requestSent()
{
    const auto now = m_context.clock.now();
    m_stats.requestSent();
    if (m_coldBudget.isLimited() && m_coldBudget.isCold(now))
        ++m_counters.sentToCold;
    m_coldBudget.requestSent(now);
}

void Upstream::probe(ProbeHandler handler)
{
    m_probeHandlers.push_back(std::move(handler));
    if (!m_probeConnection)
        sendProbe();
}

void Upstream::sendProbe()
{
    m_probeSentAt = m_context.clock.now();
    m_probeBudget.consume(m_probeSentAt);
    ++m_counters.probesSent;
    m_probeConnection = acquire(ReusePolicy::Any);
    UpstreamRequest request;
    request.bytes = encodeProbe();
    // A late copy of a response to an earlier request carries the id of that request.
    request.originOf = [&codec = m_headerCodec](const Response &response) {
        const bool hasId = codec.responseMetadata(response.status, response.headers)
                                   .request.has_value();
        return hasId ? ResponseOrigin::Other : ResponseOrigin::Own;
    };
    m_probeConnection->exchange(std::move(request), m_probeBudget.policy().timeout,
                                [weak = weak_from_this()](const AttemptResult &result) {
                                    if (const auto self = weak.lock())
                                        self->handleProbeResult(result);
                                });
}

std::string Upstream::encodeProbe() const
{
    return "GET " + m_spec.healthPath + " HTTP/1.1\r\nHost: " + m_spec.endpoint.toString()
           + "\r\n\r\n";
}

void Upstream::handleProbeResult(const AttemptResult &result)
{
    const auto now = m_context.clock.now();
    const auto connection = std::exchange(m_probeConnection, nullptr);
    const auto handlers = std::exchange(m_probeHandlers, {});
    const auto *answered = std::get_if<Answered>(&result.outcome);
    bool hasLoad = false;
    if (answered) {
        const auto metadata = m_headerCodec.responseMetadata(answered->response.status,
                                                             answered->response.headers);
        const bool isOtherTarget = metadata.target && *metadata.target != m_spec.id;
        if (isOtherTarget)
            setMisaddressed();
        else
            probeAnswered(metadata, now);
        hasLoad = metadata.load.has_value() && !isOtherTarget;
        constexpr unsigned ok = 200;
        if (hasLoad)
            m_stats.loadReported(*metadata.load, answered->response.status == ok, now);
        release(connection);
    }
    if (!hasLoad) {
        ++m_counters.probesFailed;
        m_stats.probeFailed(now);
        closeUnansweredSince(now - m_probeBudget.policy().timeout);
    }
    for (const auto &it : handlers)
        it(hasLoad);
}

void Upstream::probeAnswered(const ResponseMetadata &metadata, TimePoint now)
{
    responseReceived(metadata);
    if (!metadata.warmupLeft || !m_coldBudget.isLimited())
        return;
    m_coldBudget.probeReported(*metadata.warmupLeft, m_probeSentAt, now);
    m_stats.setWarmupEnd(m_coldBudget.coldUntil());
}

void Upstream::responseReceived(const ResponseMetadata &metadata)
{
    if (metadata.isLeaving && m_eligibility->announceLeaving()) {
        ++m_counters.leavingAnnounced;
        m_events.record(EventId::TargetLeaving,
                        {{"target", m_spec.id.string()}, {"source", "response"}});
    }
    if (!metadata.retryAfter)
        return;
    const auto pause = m_eligibility->pause(*metadata.retryAfter, m_context.clock.now());
    ++m_counters.pausesRequested;
    m_events.record(EventId::TargetPaused,
                    {{"target", m_spec.id.string()},
                     {"requested_ms", std::to_string(toMilliseconds(*metadata.retryAfter))},
                     {"pause_ms", std::to_string(toMilliseconds(pause))}});
}

std::shared_ptr<UpstreamConnection> Upstream::acquire(ReusePolicy reuse)
{
    const auto now = m_context.clock.now();
    std::erase_if(m_idle, [](const auto &it) { return !it.connection->isReusable(); });
    for (auto it = m_idle.rbegin(); it != m_idle.rend(); ++it) {
        if (!isReusable(*it, reuse, now))
            continue;
        auto connection = std::move(it->connection);
        m_idle.erase(std::next(it).base());
        return connection;
    }
    auto connection = std::make_shared<UpstreamConnection>(m_context);
    ++m_counters.connectionsOpened;
    // The address is valid: target records with an invalid one are rejected.
    connection->open(toTcpEndpoint(m_spec.endpoint).value_or(TcpEndpoint()),
                     m_limits.connectTimeout, m_limits.ackTimeout);
    return connection;
}

bool Upstream::isReusable(const IdleConnection &idle, ReusePolicy reuse, TimePoint now) const
{
    if (reuse == ReusePolicy::None)
        return false;
    const auto announced = idle.connection->idleTimeout();
    // Allows for the network delay, so that a request does not arrive just as the target closes.
    constexpr Duration margin = std::chrono::milliseconds(500);
    const auto maxIdleTimeout = announced ? std::max(*announced - margin, *announced / 2)
                                          : m_limits.defaultIdleTimeout;
    const auto idleDuration = now - idle.idleSince;
    return idleDuration < (reuse == ReusePolicy::Recent
                                   ? std::min(maxIdleTimeout, maxRecentResponseAge)
                                   : maxIdleTimeout);
}

void Upstream::release(std::shared_ptr<UpstreamConnection> connection)
{
    if (!connection->isReusable())
        return;
    m_idle.push_back({std::move(connection), m_context.clock.now()});
    if (m_idle.size() > m_limits.maxIdleConnections) {
        m_idle.front().connection->close();
        m_idle.erase(m_idle.begin());
    }
}

void Upstream::closeUnansweredSince(TimePoint time)
{
    std::erase_if(m_idle, [time](const auto &it) {
        const bool isUnanswered = it.idleSince < time;
        if (isUnanswered)
            it.connection->close();
        return isUnanswered;
    });
}

void Upstream::closeIdle()
{
    for (const auto &it : m_idle)
        it.connection->close();
    m_idle.clear();
}

} // namespace Sapphireladder
