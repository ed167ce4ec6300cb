#pragma once

#include <string>
#include <string_view>

namespace Sapphireladder {

inline const std::string hostHeader = "Host";
inline const std::string requestIdHeader = "X-Request-Id";
inline const std::string idempotencyKeyHeader = "Idempotency-Key";
/** Time left for the request in milliseconds. */
inline const std::string timeoutHeader = "Sapphireladder-Timeout-Ms";
inline const std::string classHeader = "Sapphireladder-Class";
inline const std::string nonIdempotentHeader = "Sapphireladder-Non-Idempotent";
/** Attempts made before this one, at any hop of the chain. */
inline const std::string attemptHeader = "Sapphireladder-Attempt";
/** Hops of the chain before this one. */
inline const std::string depthHeader = "Sapphireladder-Depth";
inline const std::string outcomeHeader = "Sapphireladder-Outcome";
inline const std::string reasonHeader = "Sapphireladder-Reason";
/** Load of the target that sends the response, as "inflight/slots". */
inline const std::string loadHeader = "Sapphireladder-Load";
/** "true" in the responses of a target that is draining. */
inline const std::string drainingHeader = "Sapphireladder-Draining";

/** @return whether the header applies to a single connection and is not forwarded. */
bool isHopByHopHeader(std::string_view name);

} // namespace Sapphireladder
