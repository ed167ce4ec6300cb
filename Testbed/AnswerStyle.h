#pragma once

#include "Request/HeaderField.h"
#include "Testbed/HttpStandin.h"

#include <span>
#include <string>
#include <vector>

namespace Sapphireladder::Testbed {

/** An answer before it is sent. */
struct TargetAnswer
{
    std::vector<HeaderField> headers;
    std::string body;
};

/** Sends an answer, or spoils it in one way. */
class AnswerSender
{
public:
    virtual ~AnswerSender() = default;
    /**
     * @param context the request and its connection
     * @param answer what a sound target would send
     * @param earlier answer to an earlier request
     */
    virtual void send(const HttpExchangeContext &context, const TargetAnswer &answer,
                      const TargetAnswer &earlier) const = 0;
};

/** One row of the table of ways to answer. */
struct AnswerStyle
{
    std::string_view name;
    const AnswerSender &sender;
};

/** @return the table; the first row is the sound one. */
std::span<const AnswerStyle> answerStyles();

inline std::span<const AnswerStyle> tableOf(const AnswerStyle *)
{
    return answerStyles();
}

} // namespace Sapphireladder::Testbed
