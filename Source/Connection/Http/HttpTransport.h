#pragma once

#include "Connection/Http/ConnectionPool.h"
#include "Request/Request.h"

namespace Sapphireladder {

/** Sends attempts to targets over HTTP/1.1. Shared by the traffic threads. */
class HttpTransport final : public AttemptTransport
{
public:
    /**
     * @param clock must outlive the transport
     * @param maxResponseBodyBytes maximum size of a response's body in bytes
     */
    HttpTransport(const Clock &clock, std::size_t maxResponseBodyBytes);

    AttemptResult attempt(const AttemptRequest &request) override;

    /** Closes pooled connections that exceed their idle time or age. Called periodically. */
    void closeExpiredConnections();
    /** @return the number of open connections to the target. */
    std::size_t openCount(const Endpoint &endpoint) const;

private:
    const Clock &m_clock;
    std::size_t m_maxResponseBodyBytes;
    ConnectionPool m_pool;
};

} // namespace Sapphireladder
