#pragma once

#include <string>
#include <string_view>

namespace Sapphireladder::Testbed {

/**
 * Makes an answer body that shows its own wholeness: it names the request and ends with a checksum.
 * @param text first line, without a line end
 * @param requestId request that is answered
 * @param padding bytes added to make the body larger
 */
std::string makeAnswerBody(std::string_view text, std::string_view requestId, std::size_t padding);

/** What a body says about itself. */
enum class BodyCheck {
    Whole,
    /** It is cut, mixed with another body, or no body of a stand-in target. */
    Broken,
    /** It is whole, but answers another request. */
    OtherRequest,
};

/** @return whether the body is a whole answer to the request. */
BodyCheck checkAnswerBody(std::string_view body, std::string_view requestId);

} // namespace Sapphireladder::Testbed
