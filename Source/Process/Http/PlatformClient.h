#pragma once

#include "Connection/Http/ConnectionHttp.h"
#include "Process/Process.h"

#include <variant>

namespace Sapphireladder {

/** A request to the platform. The views must stay valid during the call. */
struct PlatformRequest
{
    std::string_view method;
    std::string path;
    std::vector<HeaderField> headers;
    std::string_view body;
};

/** Makes HTTP calls to the platform, each with a deadline. Thread-safe. */
class PlatformClient
{
public:
    /** Maximum size of a response body. A preset of 2,400 targets takes about 200 KB. */
    static constexpr std::size_t maxResponseBytes = 8 * mebibyte;

    /** The references must outlive the client. */
    PlatformClient(Endpoint endpoint, Duration timeout, const Clock &clock,
                   ControlTraffic &traffic);

    /**
     * @return the complete response; otherwise NotRun, or Unknown if the platform may have executed
     * the request.
     */
    ExchangeResult call(const PlatformRequest &request);

    /** Closes pooled connections that were idle too long. To be called periodically. */
    void closeExpiredConnections() { m_pool.closeExpired(); }

private:
    ExchangeResult callOnSession(std::unique_ptr<UpstreamSession> session,
                                 const PlatformRequest &request, TimePoint deadline);

    const Endpoint m_endpoint;
    const Duration m_timeout;
    const Clock &m_clock;
    ControlTraffic &m_traffic;
    ConnectionPool m_pool;
};

/** @return the text percent-encoded for use as a single path segment. */
std::string encodePathSegment(std::string_view text);

} // namespace Sapphireladder
