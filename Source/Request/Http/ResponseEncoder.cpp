#include "Request/Http/RequestHttp.h"

#include <Poco/Net/HTTPResponse.h>

#include <sstream>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPResponse;

constexpr unsigned noContentStatus = 204;
constexpr unsigned notModifiedStatus = 304;

/** Encodes each alternative of an outcome. */
struct OutcomeEncoder
{
    const ResponseContext &context;

    EncodedOutcome operator()(Response response) const
    {
        HTTPResponse head;
        for (const auto &it : response.headers)
            head.add(it.name, it.value);
        // Drops the fields of a load balancer at a later hop.
        for (const auto &it : {outcomeHeader, reasonHeader, requestIdHeader})
            head.erase(it);
        head.set(outcomeHeader, "answered");
        return encode(head, response.status, std::move(response.body));
    }

    EncodedOutcome operator()(const Refusal &refusal) const
    {
        return encodeLocalResponse(statusOf(refusal.reason), "not-run", nameOf(refusal.reason));
    }

    EncodedOutcome operator()(const Unknown &unknown) const
    {
        const unsigned status = unknown.reason == UnknownReason::ResponseTimeout   ? 504
                                : unknown.reason == UnknownReason::AlreadyAccepted ? 409
                                                                                   : 502;
        return encodeLocalResponse(status, "unknown", nameOf(unknown.reason));
    }

private:
    EncodedOutcome encodeLocalResponse(unsigned status, std::string_view outcome,
                                       std::string_view reason) const
    {
        HTTPResponse head;
        head.set(outcomeHeader, std::string(outcome));
        head.set(reasonHeader, std::string(reason));
        head.setContentType("text/plain");
        for (const auto &it : context.fields)
            head.set(it.name, it.value);
        return encode(head, status, std::string(outcome) + ": " + std::string(reason) + "\n");
    }

    EncodedOutcome encode(HTTPResponse &head, unsigned status, std::string body) const
    {
        const bool hasBody = !context.isHead && status != noContentStatus
                             && status != notModifiedStatus;
        head.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
        head.setVersion(HTTPMessage::HTTP_1_1);
        head.setKeepAlive(context.keepAlive);
        if (!context.requestId.isEmpty())
            head.set(requestIdHeader, context.requestId.string());
        if (hasBody)
            head.setContentLength64(static_cast<Poco::Int64>(body.size()));
        std::ostringstream out;
        head.write(out);
        return {out.str(), hasBody ? std::move(body) : std::string()};
    }
};

} // namespace

unsigned statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::BadFraming:
    case RefusalReason::DepthExceeded:
    case RefusalReason::RequestTruncated:
        return 400;
    case RefusalReason::UnknownKey:
        return 401;
    case RefusalReason::RequestTimeout:
        return 408;
    case RefusalReason::HeaderTooLarge:
        return 431;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::KeyReused:
        return 422;
    case RefusalReason::QueueFull:
    case RefusalReason::AllowanceExceeded:
    case RefusalReason::Overloaded:
        return 429;
    case RefusalReason::DeadlineExpired:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::QueueTimeout:
        return 504;
    default:
        return 503;
    }
}

EncodedOutcome encodeOutcomeParts(RequestOutcome outcome, const ResponseContext &context)
{
    return std::visit(OutcomeEncoder{context}, std::move(outcome));
}

std::string encodeOutcome(const RequestOutcome &outcome, const ResponseContext &context)
{
    auto parts = encodeOutcomeParts(outcome, context);
    return std::move(parts.head.append(parts.body));
}

} // namespace Sapphireladder
