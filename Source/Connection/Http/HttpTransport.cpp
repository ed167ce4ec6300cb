#include "Connection/Http/ConnectionHttp.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

HTTPRequest encodeRequest(const AttemptRequest &request, TimePoint now)
{
    const auto &info = request.info;
    HTTPRequest message(std::string(info.method), std::string(info.path), HTTPMessage::HTTP_1_1);
    for (const auto &it : request.headers)
        message.add(it.name, it.value);
    message.setHost(info.service.string());
    message.set(requestIdHeader, info.id.string());
    // A value of 0 would mean an expired deadline.
    const auto remaining = std::max<std::int64_t>(toMilliseconds(info.deadline - now), 1);
    message.set(timeoutHeader, std::to_string(remaining));
    message.set(attemptHeader, std::to_string(info.priorAttempts + request.attemptIndex));
    message.set(depthHeader, std::to_string(info.depth + 1));
    if (info.key)
        message.set(idempotencyKeyHeader, info.key->string());
    return message;
}

std::optional<LoadReport> parseLoad(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto inFlight = parseUnsigned(text.substr(0, slash));
    const auto slots = parseUnsigned(text.substr(slash + 1));
    if (!inFlight || !slots)
        return std::nullopt;
    return LoadReport{static_cast<unsigned>(inFlight.value()),
                      static_cast<unsigned>(slots.value())};
}

bool isShed(const ResponseHead &head, const ShedMark &mark)
{
    return head.status == mark.status && fieldValue(head.fields, mark.header) == mark.value;
}

Response decodeResponse(CompleteResponse completeResponse, bool isHead)
{
    const auto &head = completeResponse.head;
    Response response{head.status, {}, std::move(completeResponse.body)};
    const ConnectionOptions options(head);
    for (const auto &it : head.fields) {
        if (!isHopByHopHeader(it.name) && !options.contains(it.name))
            response.headers.push_back(it);
    }
    // In a response to HEAD, Content-Length is the size of the body for GET, and no body follows.
    if (const auto *length = findField(head.fields, HTTPMessage::CONTENT_LENGTH); isHead && length)
        response.headers.push_back({HTTPMessage::CONTENT_LENGTH, *length});
    return response;
}

AttemptResult classifyResponse(const AttemptRequest &request, CompleteResponse completeResponse)
{
    AttemptResult result;
    const auto &fields = completeResponse.head.fields;
    result.load = parseLoad(fieldValue(fields, loadHeader));
    result.draining = fieldValue(fields, drainingHeader) == "true";
    const auto &id = request.info.id.string();
    if (fieldValue(fields, requestIdHeader, id) != id)
        result.outcome = Unknown{UnknownReason::ResponseMismatch};
    else if (isShed(completeResponse.head, request.policy.shedMark))
        result.outcome = NotRun{RetryReason::Shed};
    else
        result.outcome = Answered{decodeResponse(std::move(completeResponse),
                                                 request.info.method == HTTPRequest::HTTP_HEAD)};
    return result;
}

} // namespace

HttpTransport::HttpTransport(const Clock &clock, std::size_t maxResponseBodyBytes)
    : m_clock(clock)
    , m_maxResponseBodyBytes(maxResponseBodyBytes)
    , m_pool(clock)
{}

AttemptResult HttpTransport::attempt(const AttemptRequest &request)
{
    const auto &endpoint = request.target.endpoint;
    const auto start = m_clock.now();
    const auto deadline = request.info.deadline;
    const auto reuse = reusePolicyFor(request.info, request.policy.retry, request.attemptIndex);
    auto session = m_pool.acquire(endpoint, reuse);
    const bool isReused = session != nullptr;
    if (!isReused) {
        auto opened = m_pool.open(endpoint, deadline);
        if (!opened)
            return {NotRun{RetryReason::ConnectFailed}, std::nullopt, false, {}};
        session = std::move(opened.value());
    }
    auto message = encodeRequest(request, m_clock.now());
    auto exchangeResult = exchange(*session, message, request.body, m_maxResponseBodyBytes,
                                   isReused ? attemptDeadline(reuse, start, deadline) : deadline);
    if (auto *completeResponse = std::get_if<CompleteResponse>(&exchangeResult)) {
        const bool isReusable = completeResponse->isReusable;
        auto result = classifyResponse(request, std::move(*completeResponse));
        if (isReusable && !std::holds_alternative<Unknown>(result.outcome))
            m_pool.release(endpoint, std::move(session));
        return result;
    }
    if (const auto *notRun = std::get_if<NotRun>(&exchangeResult))
        return {*notRun, std::nullopt, false, {}};
    const auto unknown = std::get<Unknown>(exchangeResult);
    if (isReused && unknown.reason == UnknownReason::ResponseTimeout)
        m_pool.closeUnansweredSince(endpoint, start);
    return {unknown, std::nullopt, false, {}};
}

void HttpTransport::closeExpiredConnections()
{
    m_pool.closeExpired();
}

std::size_t HttpTransport::openCount(const Endpoint &endpoint) const
{
    return m_pool.openCount(endpoint);
}

} // namespace Sapphireladder
