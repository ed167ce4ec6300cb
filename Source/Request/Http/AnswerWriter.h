#pragma once

#include "Request/Request.h"

#include <span>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** What an encoded answer depends on besides its outcome. */
struct AnswerContext
{
    /** Id that the answer echoes; empty if the request had none that could be read. */
    RequestId requestId;
    /** Answers to HEAD have no body. */
    bool isHead = false;
    /** The connection stays open after the answer. */
    bool keepConnection = false;
    /** Further fields of an answer that no target gave. */
    std::span<const HeaderField> fields{};
};

/**
 * Encodes a request's outcome for its caller.
 * @param outcome answer, refusal or unknown
 * @return the whole HTTP message.
 */
std::string encodeOutcome(const RequestOutcome &outcome, const AnswerContext &context);

/** @return HTTP status that tells the caller of the refusal. */
unsigned statusOf(RefusalReason reason);

} // namespace Sapphireladder
