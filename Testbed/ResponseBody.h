#pragma once

#include <string>
#include <string_view>

namespace Sapphireladder::Testbed {

/**
 * Creates a response body whose integrity can be checked: it contains the request id and ends with
 * a checksum.
 * @param text first line, without a line break
 * @param requestId id of the request that is answered
 * @param padding number of bytes added to enlarge the body
 */
std::string makeResponseBody(std::string_view text, std::string_view requestId,
                             std::size_t padding);

/** Result of checking a response body. */
enum class BodyCheck {
    Valid,
    /** Truncated, mixed with another body, or not created by makeResponseBody(). */
    Corrupt,
    /** Complete, but the response to another request. */
    OtherRequest,
};

/** Checks whether the body is a complete response to the request. */
BodyCheck checkResponseBody(std::string_view body, std::string_view requestId);

} // namespace Sapphireladder::Testbed
