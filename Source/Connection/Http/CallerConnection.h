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

/** Bounds of what a caller may send. */
struct CallerLimits
{
    /** Bytes of a request's body. */
    std::size_t bodyLimit = mebibyte;
    /** Time in which a started request must have arrived whole. */
    Duration readTimeout = std::chrono::seconds(5);
    /** Time in which the caller must have taken an answer. */
    Duration writeTimeout = std::chrono::seconds(10);
};

/** What becomes of a caller's connection after a request. */
enum class AfterRequest : std::uint8_t {
    /** It may carry another request. */
    Keep,
    /** The last answer was sent; the caller may still be sending. */
    Close,
    /** The caller is gone. */
    Drop,
};

/** One connection of a caller. Used by one thread at a time. */
class CallerConnection
{
public:
    /**
     * @param socket an accepted connection
     * @param connection the implementation of `socket`
     * @param closing set when answers are to close their connections; outlives the object
     */
    CallerConnection(const Poco::Net::StreamSocket &socket, CountingSocketImpl *connection,
                     const CallerLimits &limits, const std::atomic<bool> &closing);

    /** Reads one request, has it served and sends its outcome. */
    AfterRequest serveOne(TrafficService &service, RandomSource &random);

    /** Notes that a request began to arrive. Its deadline counts from then. */
    void setReadableSince(TimePoint time) { m_readableSince = time; }

    /** @return whether the next request was already read and no poll will report it. */
    bool hasBufferedInput() const { return !m_connection->unread().empty(); }
    const Poco::Net::StreamSocket &socket() const { return m_socket; }
    TimePoint idleSince() const { return m_idleSince; }

private:
    /** What is known of the request that is being served. */
    struct Request
    {
        Poco::Net::HTTPRequest message;
        TimePoint arrival;
        RequestId id;
        /** The whole request was read, so that the next one starts where it should. */
        bool isRead = false;
    };

    std::optional<RequestOutcome> outcomeOf(Request &request, TrafficService &service,
                                            RandomSource &random);
    RequestOutcome serve(Request &request, TrafficService &service, RandomSource &random);
    Result<std::string> readBody(const Request &request, const MessageFraming &framing);
    AfterRequest answer(const Request &request, const RequestOutcome &outcome, bool keep);

    Poco::Net::StreamSocket m_socket;
    CountingSocketImpl *m_connection;
    CallerLimits m_limits;
    const std::atomic<bool> &m_closing;
    TimePoint m_readableSince;
    TimePoint m_idleSince;
};

} // namespace Sapphireladder
