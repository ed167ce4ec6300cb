#pragma once

#include "Connection/Http/ConnectionHttp.h"
#include "Process/Process.h"

#include <variant>

namespace Sapphireladder {

/** One request to the platform. The views are valid during the call. */
struct PlatformRequest
{
    std::string_view method;
    std::string path;
    std::vector<HeaderField> headers;
    std::string_view body;
};

/** HTTP calls to the platform, each with a deadline. Safe for several threads. */
class PlatformClient
{
public:
    /** Largest answer of the platform in bytes. A preset of 2,400 targets has about 200 KB. */
    static constexpr std::size_t answerLimit = 8 * mebibyte;

    /** The references outlive the client. */
    PlatformClient(Endpoint endpoint, Duration timeout, const Clock &clock,
                   ControlTraffic &traffic);

    /** @return the whole answer, or whether the platform may have run the request. */
    ExchangeEnd call(const PlatformRequest &request);

    /** Closes pooled connections that were idle too long. Called now and then. */
    void closeExpiredConnections() { m_pool.closeExpired(); }

private:
    ExchangeEnd callOn(std::unique_ptr<UpstreamSession> session, const PlatformRequest &request,
                       TimePoint deadline);

    const Endpoint m_endpoint;
    const Duration m_timeout;
    const Clock &m_clock;
    ControlTraffic &m_traffic;
    ConnectionPool m_pool;
};

/** Escapes a key for use as one segment of a path. */
std::string encodeSegment(std::string_view text);

} // namespace Sapphireladder
