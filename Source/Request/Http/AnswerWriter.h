#pragma once

#include "Request/Request.h"

#include <Poco/Net/HTTPServerResponse.h>

namespace Sapphireladder {

/**
 * Sends a request's outcome to its caller.
 * @param outcome answer, refusal or unknown
 * @param requestId id that the answer echoes
 * @param response response with nothing sent yet
 */
void writeOutcome(const RequestOutcome &outcome, const RequestId &requestId,
                  Poco::Net::HTTPServerResponse &response);

/** @return HTTP status that tells the caller of the refusal. */
unsigned statusOf(RefusalReason reason);

} // namespace Sapphireladder
