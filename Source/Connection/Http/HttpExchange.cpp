#include "Connection/Http/ConnectionHttp.h"

#include <sstream>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPRequest;

bool hasNoBody(std::string_view method, unsigned status)
{
    return method == HTTPRequest::HTTP_HEAD || status == 204 || status == 304;
}

std::string encode(const HTTPRequest &message, std::string_view body)
{
    std::ostringstream out;
    message.write(out);
    auto text = out.str();
    text.append(body);
    return text;
}

/** Reads the head of the final answer, skipping interim (1xx) answers. */
Result<> readAnswerHead(CountingSocketImpl &connection, Poco::Net::HTTPResponse &message)
{
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned firstFinalStatus = 200;
    while (true) {
        TRY_ASSIGN(head, readHead(connection, maxHeadSize));
        message.clear();
        if (!parseResponseHead(head, message))
            return makeError(ConnectionError::HeadMalformed);
        const auto status = static_cast<unsigned>(message.getStatus());
        // Requests never ask for an upgrade of the protocol.
        if (status == switchingProtocols)
            return makeError(ConnectionError::BadFraming);
        if (status >= firstFinalStatus)
            return success();
    }
}

Result<WholeAnswer> readAnswer(UpstreamSession &session, std::string_view method,
                               std::size_t bodyLimit)
{
    WholeAnswer answer;
    TRY(readAnswerHead(session.connection(), answer.head));
    const auto framing = framingOf(answer.head);
    if (!framing)
        return makeError(ConnectionError::BadFraming);
    if (!hasNoBody(method, static_cast<unsigned>(answer.head.getStatus()))) {
        if (framing->kind == FramingKind::None)
            return makeError(ConnectionError::NoLength);
        TRY_ASSIGN(body, readBody(session.connection(), *framing, bodyLimit));
        answer.body = std::move(body);
    }
    answer.reusable = isKeepAlive(answer.head) && session.connection().unread().empty();
    return answer;
}

UnknownReason unknownReasonOf(const Error &error)
{
    struct Row
    {
        ConnectionError code;
        UnknownReason reason;
    };
    static constexpr Row rows[] = {
            {ConnectionError::MessageTruncated, UnknownReason::AnswerCut},
            {ConnectionError::DeadlinePassed, UnknownReason::AnswerTimeout},
            {ConnectionError::HeadTooLarge, UnknownReason::AnswerTooLarge},
            {ConnectionError::BodyTooLarge, UnknownReason::AnswerTooLarge},
            {ConnectionError::HeadMalformed, UnknownReason::AnswerFraming},
            {ConnectionError::BadFraming, UnknownReason::AnswerFraming},
            {ConnectionError::NoLength, UnknownReason::AnswerWithoutLength},
    };
    for (const auto &it : rows) {
        if (error.code == it.code)
            return it.reason;
    }
    return UnknownReason::ConnectionReset;
}

} // namespace

ExchangeEnd exchange(UpstreamSession &session, HTTPRequest &message, std::string_view body,
                     std::size_t bodyLimit, TimePoint deadline)
{
    auto &connection = session.connection();
    connection.resetByteCounts();
    connection.setDeadline(deadline);
    if (!message.has(HTTPRequest::HOST))
        message.setHost(session.endpoint().toString());
    const auto &method = message.getMethod();
    if (!body.empty() || method == HTTPRequest::HTTP_POST || method == HTTPRequest::HTTP_PUT
        || method == HTTPRequest::HTTP_PATCH)
        message.setContentLength64(static_cast<Poco::Int64>(body.size()));
    if (const auto sent = connection.sendAll(encode(message, body)); !sent) {
        if (connection.bytesSent() == 0)
            return NotRun{RetryReason::StaleConnection};
        return Unknown{unknownReasonOf(sent.error())};
    }
    auto answer = readAnswer(session, method, bodyLimit);
    if (!answer)
        return Unknown{unknownReasonOf(answer.error())};
    return std::move(answer.value());
}

} // namespace Sapphireladder
