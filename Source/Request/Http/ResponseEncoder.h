#pragma once

#include "Request/Request.h"

#include <span>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** Input of the encoding besides the outcome. */
struct ResponseContext
{
    /** Id that the response echoes; empty if the request had no readable id. */
    RequestId requestId;
    /** Responses to HEAD have no body. */
    bool isHead = false;
    /** The connection stays open after the response. */
    bool keepAlive = false;
    /** Additional fields of a response that does not come from a target. */
    std::span<const HeaderField> fields{};
};

/** An encoded message whose body is separate, so that a large one is not copied. */
struct EncodedOutcome
{
    std::string head;
    std::string body;
};

/**
 * Encodes the outcome of a request for its caller.
 * @param outcome response, refusal or unknown
 * @return the head and the body of the HTTP message.
 */
EncodedOutcome encodeOutcomeParts(RequestOutcome outcome, const ResponseContext &context);

/**
 * Encodes the outcome of a request for its caller.
 * @param outcome response, refusal or unknown
 * @return the complete HTTP message.
 */
std::string encodeOutcome(const RequestOutcome &outcome, const ResponseContext &context);

/** @return HTTP status of a refusal. */
unsigned statusOf(RefusalReason reason);

} // namespace Sapphireladder
