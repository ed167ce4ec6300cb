#include "Request/Http/RequestHttp.h"

#include <string>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerResponse;

void send(HTTPServerResponse &response, unsigned status, std::string_view body)
{
    response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(status));
    response.setContentLength64(static_cast<Poco::Int64>(body.size()));
    response.sendBuffer(body.data(), body.size());
}

void sendWithoutAnswer(HTTPServerResponse &response, unsigned status, std::string_view outcome,
                       std::string_view reason)
{
    response.set(outcomeHeader, std::string(outcome));
    response.set(reasonHeader, std::string(reason));
    response.setContentType("text/plain");
    send(response, status, std::string(outcome) + ": " + std::string(reason) + "\n");
}

/** Sends one kind of outcome. */
struct OutcomeSender
{
    HTTPServerResponse &response;

    void operator()(const Answer &answer) const
    {
        for (const auto &it : answer.headers)
            response.add(it.name, it.value);
        response.set(outcomeHeader, "answered");
        send(response, answer.status, answer.body);
    }

    void operator()(const Refusal &refusal) const
    {
        sendWithoutAnswer(response, statusOf(refusal.reason), "not-run", nameOf(refusal.reason));
    }

    void operator()(const Unknown &unknown) const
    {
        const unsigned status = unknown.reason == UnknownReason::AnswerTimeout     ? 504
                                : unknown.reason == UnknownReason::AlreadyAccepted ? 409
                                                                                   : 502;
        sendWithoutAnswer(response, status, "unknown", nameOf(unknown.reason));
    }
};

} // namespace

unsigned statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::BadFraming:
    case RefusalReason::DepthExceeded:
        return 400;
    case RefusalReason::HeaderTooLarge:
        return 431;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::UnknownService:
        return 404;
    case RefusalReason::KeyReused:
        return 422;
    case RefusalReason::QueueFull:
        return 429;
    case RefusalReason::DeadlineExpired:
    case RefusalReason::DeadlineUnreachable:
    case RefusalReason::QueueTimeout:
        return 504;
    default:
        return 503;
    }
}

void writeOutcome(const RequestOutcome &outcome, const RequestId &requestId,
                  HTTPServerResponse &response)
{
    if (!requestId.isEmpty())
        response.set(requestIdHeader, requestId.string());
    std::visit(OutcomeSender{response}, outcome);
}

} // namespace Sapphireladder
