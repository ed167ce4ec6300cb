#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Exception.h>

#include <istream>
#include <optional>
#include <ostream>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPResponse;

bool hasNoBody(std::string_view method, unsigned status)
{
    return method == "HEAD" || status == 204 || status == 304;
}

/** Reads the body. @return why the answer is not whole, or nothing. */
std::optional<UnknownReason> readBody(std::istream &stream, UpstreamSession &session,
                                      std::size_t limit, WholeAnswer &answer)
{
    const bool chunked = answer.head.getChunkedTransferEncoding();
    const bool hasLength = answer.head.hasContentLength();
    if (chunked == hasLength)
        return chunked ? UnknownReason::AnswerFraming : UnknownReason::AnswerWithoutLength;
    const auto length = hasLength ? answer.head.getContentLength64() : 0;
    if (length < 0)
        return UnknownReason::AnswerFraming;
    if (static_cast<std::uint64_t>(length) > limit)
        return UnknownReason::AnswerTooLarge;
    char buf[16384];
    while (stream.read(buf, sizeof buf), stream.gcount() > 0) {
        answer.body.append(buf, static_cast<std::size_t>(stream.gcount()));
        if (answer.body.size() > limit)
            return UnknownReason::AnswerTooLarge;
    }
    if (const auto *exception = session.networkException()) {
        return dynamic_cast<const Poco::TimeoutException *>(exception)
                       ? UnknownReason::AnswerTimeout
                       : UnknownReason::ConnectionReset;
    }
    if (hasLength && answer.body.size() != static_cast<std::size_t>(length))
        return UnknownReason::AnswerCut;
    // POCO ends a chunked body without its last chunk as if it were whole.
    if (chunked && session.counter().isPeerClosed())
        return UnknownReason::AnswerCut;
    return std::nullopt;
}

ExchangeEnd failedExchange(const UpstreamSession &session, UnknownReason reason)
{
    if (session.counter().bytesSent() == 0)
        return NotRun{RetryReason::StaleConnection};
    return Unknown{reason};
}

} // namespace

ExchangeEnd exchange(UpstreamSession &session, Poco::Net::HTTPRequest &message,
                     std::string_view body, std::size_t bodyLimit, TimePoint deadline)
{
    session.counter().resetCounts();
    session.counter().setDeadline(deadline);
    try {
        if (!message.has(Poco::Net::HTTPRequest::HOST))
            message.setHost(session.socket().peerAddress().toString());
        if (!body.empty() || message.getMethod() == Poco::Net::HTTPRequest::HTTP_POST
            || message.getMethod() == Poco::Net::HTTPRequest::HTTP_PUT)
            message.setContentLength64(static_cast<Poco::Int64>(body.size()));
        auto &out = session.sendRequest(message);
        out.write(body.data(), static_cast<std::streamsize>(body.size()));
        out.flush();
        WholeAnswer answer;
        auto &in = session.receiveResponse(answer.head);
        const auto status = static_cast<unsigned>(answer.head.getStatus());
        if (!hasNoBody(message.getMethod(), status)) {
            if (const auto reason = readBody(in, session, bodyLimit, answer))
                return failedExchange(session, *reason);
        }
        answer.reusable = answer.head.getKeepAlive() && !session.counter().isPeerClosed();
        return answer;
    } catch (const Poco::TimeoutException &) {
        return failedExchange(session, UnknownReason::AnswerTimeout);
    } catch (const Poco::Exception &) {
        return failedExchange(session, UnknownReason::ConnectionReset);
    }
}

} // namespace Sapphireladder
