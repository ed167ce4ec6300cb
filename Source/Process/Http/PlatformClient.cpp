#include "Process/Http/ProcessHttp.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>

namespace Sapphireladder {

PlatformClient::PlatformClient(Endpoint endpoint, Duration timeout, const Clock &clock,
                               ControlTraffic &traffic)
    : m_endpoint(std::move(endpoint))
    , m_timeout(timeout)
    , m_clock(clock)
    , m_traffic(traffic)
    , m_pool(clock)
{}

ExchangeEnd PlatformClient::call(const PlatformRequest &request)
{
    const auto deadline = m_clock.now() + m_timeout;
    const auto start = m_clock.now();
    m_traffic.add(ControlCounter::StoreCalls);
    // A write must not go on a connection that may have gone silent, just like a caller's
    // non-idempotent request.
    auto session = m_pool.take(m_endpoint, request.method == "GET");
    if (!session) {
        auto opened = UpstreamSession::create(m_endpoint, deadline);
        if (!opened) {
            m_traffic.add(ControlCounter::StoreCallsFailed);
            return NotRun{RetryReason::ConnectFailed};
        }
        session = std::move(opened.value());
    }
    Poco::Net::HTTPRequest message(std::string(request.method), request.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &it : request.headers)
        message.set(it.name, it.value);
    auto end = exchange(*session, message, request.body, answerLimit, deadline);
    m_traffic.add(ControlCounter::StoreBytesSent, session->counter().bytesSent());
    m_traffic.add(ControlCounter::StoreBytesReceived, session->counter().bytesReceived());
    const auto *whole = std::get_if<WholeAnswer>(&end);
    if (!whole)
        m_traffic.add(ControlCounter::StoreCallsFailed);
    if (!whole)
        m_pool.dropSilentSince(m_endpoint, start);
    else if (whole->reusable)
        m_pool.give(m_endpoint, std::move(session));
    return end;
}

std::string encodeSegment(std::string_view text)
{
    std::string encoded;
    Poco::URI::encode(std::string(text), "/?#%&=+", encoded);
    return encoded;
}

} // namespace Sapphireladder
