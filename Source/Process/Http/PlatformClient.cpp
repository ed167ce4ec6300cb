#include "Process/Http/ProcessHttp.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>

#include <algorithm>

namespace Sapphireladder {

namespace {

/**
 * Timeout of a call on a pooled connection. An unresponsive connection must be detected and
 * replaced within 5 s.
 */
constexpr Duration pooledCallTimeout = std::chrono::seconds(2);

} // namespace

PlatformClient::PlatformClient(Endpoint endpoint, Duration timeout, const Clock &clock,
                               ControlTraffic &traffic)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
    , m_clock(clock)
    , m_traffic(traffic)
    , m_pool(clock)
{}

ExchangeResult PlatformClient::call(const PlatformRequest &request)
{
    const auto deadline = m_clock.now() + m_timeout;
    m_traffic.add(ControlCounter::StoreCalls);
    // Like a caller's non-idempotent request, a write must not use a connection that may have
    // become unresponsive.
    const bool isRead = request.method == "GET";
    if (auto session = m_pool.acquire(m_endpoint,
                                      isRead ? ReusePolicy::Any : ReusePolicy::Recent)) {
        const auto pooledDeadline = isRead ? attemptDeadline(ReusePolicy::Any, m_clock.now(),
                                                             deadline)
                                           : deadline;
        auto result = callOnSession(std::move(session), request,
                                    std::min(pooledDeadline, m_clock.now() + pooledCallTimeout));
        // A read is retried on a new connection, since the pooled one may be unresponsive.
        const bool canRetry = isRead || std::holds_alternative<NotRun>(result);
        if (!canRetry || std::holds_alternative<CompleteResponse>(result))
            return result;
    }
    auto opened = m_pool.open(m_endpoint, deadline);
    if (!opened) {
        m_traffic.add(ControlCounter::StoreCallsFailed);
        return NotRun{RetryReason::ConnectFailed};
    }
    return callOnSession(std::move(opened.value()), request, deadline);
}

ExchangeResult PlatformClient::callOnSession(std::unique_ptr<UpstreamSession> session,
                                             const PlatformRequest &request, TimePoint deadline)
{
    const auto start = m_clock.now();
    Poco::Net::HTTPRequest message(std::string(request.method), request.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &it : request.headers)
        message.set(it.name, it.value);
    auto result = exchange(*session, message, request.body, maxResponseBytes, deadline);
    m_traffic.add(ControlCounter::StoreBytesSent, session->socketImpl().bytesSent());
    m_traffic.add(ControlCounter::StoreBytesReceived, session->socketImpl().bytesReceived());
    const auto *response = std::get_if<CompleteResponse>(&result);
    if (!response)
        m_traffic.add(ControlCounter::StoreCallsFailed);
    if (!response)
        m_pool.closeUnansweredSince(m_endpoint, start);
    else if (response->isReusable)
        m_pool.release(m_endpoint, std::move(session));
    return result;
}

std::string encodePathSegment(std::string_view text)
{
    std::string encoded;
    Poco::URI::encode(std::string(text), "/?#%&=+", encoded);
    return encoded;
}

} // namespace Sapphireladder
