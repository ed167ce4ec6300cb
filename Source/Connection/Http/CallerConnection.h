#pragma once

#include "Connection/Http/CountingSocketImpl.h"
#include "Connection/Http/TrafficService.h"

#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponseImpl.h>
#include <Poco/Net/HTTPServerSession.h>

#include <string>
#include <variant>

namespace Sapphireladder {

/** POCO's server side of one connection, with a look at its read buffer. */
class CallerSession final : public Poco::Net::HTTPServerSession
{
public:
    CallerSession(const Poco::Net::StreamSocket &socket,
                  const Poco::Net::HTTPServerParams::Ptr &params)
        : HTTPServerSession(socket, params)
    {}

    /** @return whether the start of another request was already read from the socket. */
    bool hasBufferedInput() const { return buffered() > 0; }
};

/** Bounds of what a caller may send. */
struct CallerLimits
{
    /** Bytes of a request's body. */
    std::size_t bodyLimit = mebibyte;
    /** Time in which a started request must have arrived whole. */
    Duration readTimeout = std::chrono::seconds(5);
};

/** One connection of a caller. Used by one thread at a time. */
class CallerConnection
{
public:
    CallerConnection(const Poco::Net::StreamSocket &socket, CountingSocketImpl *counter,
                     const CallerLimits &limits);

    /**
     * Reads one request, has it served and sends its outcome.
     * @return whether the connection may carry another request.
     */
    bool serveOne(TrafficService &service, RandomSource &random);

    /** @return whether the next request was already read and no poll will report it. */
    bool hasBufferedInput() const { return m_session.hasBufferedInput(); }
    Poco::Net::StreamSocket &socket() { return m_session.socket(); }
    TimePoint idleSince() const { return m_idleSince; }

private:
    using BodyOrRefusal = std::variant<std::string, RefusalReason>;

    bool serveRequest(TrafficService &service, RandomSource &random, TimePoint arrival);
    RequestOutcome outcomeOf(Poco::Net::HTTPServerRequestImpl &request, TrafficService &service,
                             RandomSource &random, TimePoint arrival, RequestId &requestId);
    BodyOrRefusal readBody(Poco::Net::HTTPServerRequestImpl &request);

    CountingSocketImpl *m_counter;
    CallerLimits m_limits;
    CallerSession m_session;
    TimePoint m_idleSince;
    /** The whole request was read, so that the next one starts where it should. */
    bool m_requestWasRead = false;
};

} // namespace Sapphireladder
