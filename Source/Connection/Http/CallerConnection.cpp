#include "Connection/Http/ConnectionHttp.h"

namespace Sapphireladder {

namespace {

/** @return the reason given to a caller whose request could not be read. */
RefusalReason refusalOf(const Error &error)
{
    struct Row
    {
        ConnectionError code;
        RefusalReason reason;
    };
    static constexpr Row rows[] = {
            {ConnectionError::HeadTooLarge, RefusalReason::HeaderTooLarge},
            {ConnectionError::BodyTooLarge, RefusalReason::BodyTooLarge},
            {ConnectionError::BadFraming, RefusalReason::BadFraming},
            {ConnectionError::HeadMalformed, RefusalReason::BadRequest},
            {ConnectionError::DeadlinePassed, RefusalReason::RequestTimeout},
            {ConnectionError::MessageTruncated, RefusalReason::RequestTruncated},
            {ConnectionError::ConnectionReset, RefusalReason::RequestTruncated},
    };
    for (const auto &it : rows) {
        if (error.code == it.code)
            return it.reason;
    }
    return RefusalReason::BadRequest;
}

} // namespace

CallerConnection::CallerConnection(const Poco::Net::StreamSocket &socket,
                                   CountingSocketImpl *socketImpl, const CallerLimits &limits,
                                   const std::atomic<bool> &isClosing)
    : m_socket(socket)
    , m_socketImpl(socketImpl)
    , m_limits(limits)
    , m_isClosing(isClosing)
    , m_readableSince(SteadyClock().now())
    , m_idleSince(m_readableSince)
{}

ConnectionDisposition CallerConnection::serveRequest(TrafficService &service, RandomSource &random)
{
    Request request;
    // The start of a pipelined request was received together with the previous request.
    request.arrival = hasBufferedInput() ? m_socketImpl->lastReceiveAt() : m_readableSince;
    m_socketImpl->setDeadline(SteadyClock().now() + m_limits.readTimeout);
    const auto outcome = processRequest(request, service, random);
    if (!outcome)
        return ConnectionDisposition::Drop;
    const bool keepsOpen = request.isFullyRead
                           && isKeepAlive(request.head, ConnectionOptions(request.head))
                           && !m_isClosing && !service.isStopping();
    const auto disposition = sendResponse(request, *outcome, keepsOpen);
    m_idleSince = SteadyClock().now();
    service.recordOutcome(*outcome, m_idleSince - request.arrival);
    return disposition;
}

std::optional<RequestOutcome>
CallerConnection::processRequest(Request &request, TrafficService &service, RandomSource &random)
{
    const auto head = readHead(*m_socketImpl, maxHeadSize);
    if (!head) {
        // The caller closed the connection between two requests.
        if (head.error().code == ConnectionError::PeerClosed)
            return std::nullopt;
        return Refusal{refusalOf(head.error())};
    }
    auto parsed = parseRequestHead(head.value());
    if (!parsed)
        return Refusal{RefusalReason::BadRequest};
    request.head = std::move(*parsed);
    return serve(request, service, random);
}

RequestOutcome CallerConnection::serve(Request &request, TrafficService &service,
                                       RandomSource &random)
{
    if (!request.head.framing)
        return Refusal{RefusalReason::BadFraming};
    request.isFullyRead = request.head.framing->kind == FramingKind::None;
    const auto snapshot = service.preset();
    if (!snapshot)
        return Refusal{RefusalReason::NoPreset};
    auto mapped = mapRequest(request.head, *snapshot, request.arrival, random);
    if (const auto *reason = std::get_if<RefusalReason>(&mapped))
        return Refusal{*reason};
    auto &[info, policy, headers] = std::get<MappedRequest>(mapped);
    request.id = info.id;
    const auto body = readBody(request.head);
    if (!body)
        return Refusal{refusalOf(body.error())};
    request.isFullyRead = true;
    if (SteadyClock().now() >= info.deadline)
        return Refusal{RefusalReason::DeadlineExpired};
    info.fingerprint = fingerprintOf(info, body.value());
    return service.serve(info, *policy, headers, body.value());
}

Result<std::string> CallerConnection::readBody(const RequestHead &head)
{
    const auto &framing = *head.framing;
    const bool hasBody = framing.kind == FramingKind::Chunked || framing.length > 0;
    const bool expectsContinue = hasToken(head, "Expect", "100-continue");
    if (hasBody && expectsContinue && framing.length <= m_limits.maxBodyBytes) {
        TRY(m_socketImpl->sendAll("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    return Sapphireladder::readBody(*m_socketImpl, framing, m_limits.maxBodyBytes);
}

ConnectionDisposition CallerConnection::sendResponse(const Request &request,
                                                     const RequestOutcome &outcome, bool keepsOpen)
{
    const ResponseContext context{request.id, request.head.method == "HEAD", keepsOpen};
    m_socketImpl->setDeadline(SteadyClock().now() + m_limits.writeTimeout);
    if (!m_socketImpl->sendAll(encodeOutcome(outcome, context)))
        return ConnectionDisposition::Drop;
    return keepsOpen ? ConnectionDisposition::Keep : ConnectionDisposition::Close;
}

} // namespace Sapphireladder
