#include "Request/Http/RequestHttp.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPResponse;

constexpr unsigned noContentStatus = 204;
constexpr unsigned notModifiedStatus = 304;

bool isContentLength(std::string_view name)
{
    return equalsIgnoringCase(name, "Content-Length");
}

/** @return whether a field of a target's response is replaced by one of this VM. */
bool isSetByVm(std::string_view name)
{
    // Those of Sapphireladder may come from a load balancer at a later hop.
    const std::string_view names[] = {outcomeHeader, reasonHeader, requestIdHeader, "Connection"};
    return std::any_of(std::begin(names), std::end(names),
                       [name](auto it) { return equalsIgnoringCase(it, name); });
}

/** @return the status line, the fields and the empty line. */
std::string encodeHead(std::span<const HeaderField> fields, unsigned status)
{
    const auto &reason = HTTPResponse::getReasonForStatus(
            static_cast<HTTPResponse::HTTPStatus>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + reason + "\r\n";
    for (const auto &it : fields)
        text.append(it.name).append(": ").append(it.value).append("\r\n");
    return text.append("\r\n");
}

/** Encodes each alternative of an outcome. */
struct OutcomeEncoder
{
    const ResponseContext &context;

    EncodedOutcome operator()(Response response) const
    {
        auto &fields = response.headers;
        std::erase_if(fields, [](const auto &it) { return isSetByVm(it.name); });
        fields.push_back({outcomeHeader, "answered"});
        return encode(std::move(fields), response.status, std::move(response.body));
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
        std::vector<HeaderField> fields = {{outcomeHeader, std::string(outcome)},
                                           {reasonHeader, std::string(reason)},
                                           {"Content-Type", "text/plain"}};
        fields.insert(fields.end(), context.fields.begin(), context.fields.end());
        return encode(std::move(fields), status,
                      std::string(outcome) + ": " + std::string(reason) + "\n");
    }

    EncodedOutcome encode(std::vector<HeaderField> fields, unsigned status, std::string body) const
    {
        const bool hasBody = !context.isHead && status != noContentStatus
                             && status != notModifiedStatus;
        fields.push_back({"Connection", context.keepAlive ? "Keep-Alive" : "Close"});
        if (!context.requestId.isEmpty())
            fields.push_back({requestIdHeader, context.requestId.string()});
        if (hasBody) {
            std::erase_if(fields, [](const auto &it) { return isContentLength(it.name); });
            fields.push_back({"Content-Length", std::to_string(body.size())});
        }
        return {encodeHead(fields, status), hasBody ? std::move(body) : std::string()};
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
