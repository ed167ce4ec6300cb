#pragma once

#include "Request/HeaderField.h"
#include "Testbed/TestHttpServer.h"

#include <span>
#include <string>
#include <vector>

namespace Sapphireladder::Testbed {

/** A response that has not been sent yet. */
struct TargetAnswer
{
    std::vector<HeaderField> headers;
    std::string body;
};

/** Sends a response, either correctly or with one kind of fault. */
class AnswerSender
{
public:
    virtual ~AnswerSender() = default;
    /**
     * @param context the request and its connection
     * @param answer response that a correct target sends
     * @param earlier response to an earlier request
     */
    virtual void send(const HttpExchangeContext &context, const TargetAnswer &answer,
                      const TargetAnswer &earlier) const = 0;
};

/** A named way to send a response. */
struct AnswerStyle
{
    std::string_view name;
    const AnswerSender &sender;
};

/** @return all styles; the first one sends correct responses. */
std::span<const AnswerStyle> answerStyles();

inline std::span<const AnswerStyle> tableOf(const AnswerStyle *)
{
    return answerStyles();
}

} // namespace Sapphireladder::Testbed
