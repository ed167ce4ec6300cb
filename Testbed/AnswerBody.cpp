#include "Testbed/Testbed.h"

#include "Version/Version.h"

namespace Sapphireladder::Testbed {

namespace {

constexpr std::string_view idLabel = "\nrequest-id: ";
constexpr std::string_view checksumLabel = "\nchecksum: ";

} // namespace

std::string makeAnswerBody(std::string_view text, std::string_view requestId, std::size_t padding)
{
    std::string body(text);
    body.append(idLabel).append(requestId);
    if (padding > 0)
        body.append("\n").append(padding, 'x');
    const auto checksum = digestOf(body).string();
    body.append(checksumLabel).append(checksum).append("\n");
    return body;
}

BodyCheck checkAnswerBody(std::string_view body, std::string_view requestId)
{
    const auto checksumAt = body.rfind(checksumLabel);
    if (checksumAt == std::string_view::npos || !body.ends_with('\n'))
        return BodyCheck::Broken;
    const auto content = body.substr(0, checksumAt);
    auto checksum = body.substr(checksumAt + checksumLabel.size());
    checksum.remove_suffix(1);
    if (digestOf(content).view() != checksum)
        return BodyCheck::Broken;
    const auto idAt = content.find(idLabel);
    if (idAt == std::string_view::npos)
        return BodyCheck::Broken;
    const auto rest = content.substr(idAt + idLabel.size());
    return rest.substr(0, rest.find('\n')) == requestId ? BodyCheck::Whole
                                                        : BodyCheck::OtherRequest;
}

} // namespace Sapphireladder::Testbed
