#include "Connection/Http/ConnectionHttp.h"

#include <sstream>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPRequest;

bool hasNoBody(std::string_view method, unsigned status)
{
    return method == HTTPRequest::HTTP_HEAD || status == 204 || status == 304;
}

std::string encodeMessage(const HTTPRequest &message, std::string_view body)
{
    std::ostringstream out;
    message.write(out);
    auto text = out.str();
    text.append(body);
    return text;
}

/** Reads the head of the final response, skipping interim (1xx) responses. */
Result<ResponseHead> readResponseHead(CountingSocketImpl &socket)
{
    constexpr unsigned switchingProtocols = 101;
    constexpr unsigned firstFinalStatus = 200;
    while (true) {
        TRY_ASSIGN(text, readHead(socket, maxHeadSize));
        auto head = parseResponseHead(text);
        if (!head)
            return makeError(ConnectionError::HeadMalformed);
        // Requests never ask for an upgrade of the protocol.
        if (head->status == switchingProtocols)
            return makeError(ConnectionError::BadFraming);
        if (head->status >= firstFinalStatus)
            return std::move(*head);
    }
}

Result<CompleteResponse> readResponse(UpstreamSession &session, std::string_view method,
                                      std::size_t maxResponseBodyBytes)
{
    CompleteResponse response;
    TRY_ASSIGN(head, readResponseHead(session.socketImpl()));
    response.head = std::move(head);
    const auto &framing = response.head.framing;
    if (!framing)
        return makeError(ConnectionError::BadFraming);
    if (!hasNoBody(method, response.head.status)) {
        if (framing->kind == FramingKind::None)
            return makeError(ConnectionError::NoLength);
        TRY_ASSIGN(body, readBody(session.socketImpl(), *framing, maxResponseBodyBytes));
        response.body = std::move(body);
    }
    response.isReusable = isKeepAlive(response.head, ConnectionOptions(response.head))
                          && session.socketImpl().unread().empty();
    return response;
}

UnknownReason unknownReasonOf(const Error &error)
{
    struct Row
    {
        ConnectionError code;
        UnknownReason reason;
    };
    static constexpr Row rows[] = {
            {ConnectionError::MessageTruncated, UnknownReason::ResponseTruncated},
            {ConnectionError::DeadlinePassed, UnknownReason::ResponseTimeout},
            {ConnectionError::HeadTooLarge, UnknownReason::ResponseTooLarge},
            {ConnectionError::BodyTooLarge, UnknownReason::ResponseTooLarge},
            {ConnectionError::HeadMalformed, UnknownReason::InvalidResponseFraming},
            {ConnectionError::BadFraming, UnknownReason::InvalidResponseFraming},
            {ConnectionError::NoLength, UnknownReason::ResponseWithoutLength},
    };
    for (const auto &it : rows) {
        if (error.code == it.code)
            return it.reason;
    }
    return UnknownReason::ConnectionReset;
}

} // namespace

ExchangeResult exchange(UpstreamSession &session, HTTPRequest &message, std::string_view body,
                        std::size_t maxResponseBodyBytes, TimePoint deadline)
{
    auto &socket = session.socketImpl();
    socket.resetByteCounts();
    socket.setDeadline(deadline);
    if (!message.has(HTTPRequest::HOST))
        message.setHost(session.endpoint().toString());
    const auto &method = message.getMethod();
    if (!body.empty() || method == HTTPRequest::HTTP_POST || method == HTTPRequest::HTTP_PUT
        || method == HTTPRequest::HTTP_PATCH)
        message.setContentLength64(static_cast<Poco::Int64>(body.size()));
    if (const auto sent = socket.sendAll(encodeMessage(message, body)); !sent) {
        if (socket.bytesSent() == 0)
            return NotRun{RetryReason::StaleConnection};
        return Unknown{unknownReasonOf(sent.error())};
    }
    auto response = readResponse(session, method, maxResponseBodyBytes);
    if (!response)
        return Unknown{unknownReasonOf(response.error())};
    return std::move(response.value());
}

} // namespace Sapphireladder
