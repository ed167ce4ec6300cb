#pragma once

#include "Connection/Http/CountingSocketImpl.h"
#include "Connection/Http/TrafficService.h"
#include "Request/Http/RequestHttp.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <optional>
#include <string>
#include <variant>

namespace Sapphireladder {

/** Limits for the requests of callers. */
struct CallerLimits
{
    std::size_t maxBodyBytes = mebibyte;
    /** Time from the first byte of a request until it must be complete. */
    Duration readTimeout = std::chrono::seconds(5);
    /** Maximum time to write a response. */
    Duration writeTimeout = std::chrono::seconds(10);
};

/** What happens to a caller's connection after a request. */
enum class ConnectionDisposition : std::uint8_t {
    /** The connection stays open for another request. */
    Keep,
    /** The last response was sent, but the caller may still be sending. */
    Close,
    /** The caller has disconnected. */
    Drop,
};

/** Server side of one caller connection. Used by one thread at a time. */
class CallerConnection
{
public:
    /**
     * @param socket an accepted connection
     * @param socketImpl the implementation of `socket`
     * @param isClosing whether connections are closed after their next response; must outlive
     * the object
     */
    CallerConnection(const Poco::Net::StreamSocket &socket, CountingSocketImpl *socketImpl,
                     const CallerLimits &limits, const std::atomic<bool> &isClosing);

    /** Reads one request, passes it to the service and sends its outcome. */
    ConnectionDisposition serveRequest(TrafficService &service, RandomSource &random);

    /** Sets when the next request started to arrive. Its deadline is relative to that. */
    void setReadableSince(TimePoint time) { m_readableSince = time; }

    /** @return whether input of the next request was already read, so that poll won't report it. */
    bool hasBufferedInput() const { return !m_socketImpl->unread().empty(); }
    const Poco::Net::StreamSocket &socket() const { return m_socket; }
    TimePoint idleSince() const { return m_idleSince; }

private:
    /** State of the request that is being served. */
    struct Request
    {
        RequestHead head;
        TimePoint arrival;
        RequestId id;
        /** Whether the next unread byte is the start of the next request. */
        bool isFullyRead = false;
    };

    std::optional<RequestOutcome> processRequest(Request &request, TrafficService &service,
                                                 RandomSource &random);
    RequestOutcome serve(Request &request, TrafficService &service, RandomSource &random);
    Result<std::string> readBody(const RequestHead &head);
    ConnectionDisposition sendResponse(const Request &request, const RequestOutcome &outcome,
                                       bool keepsOpen);

    Poco::Net::StreamSocket m_socket;
    CountingSocketImpl *m_socketImpl;
    CallerLimits m_limits;
    const std::atomic<bool> &m_isClosing;
    TimePoint m_readableSince;
    TimePoint m_idleSince;
};

} // namespace Sapphireladder
