#include "Testbed/Testbed.h"

#include "Version/Version.h"

namespace Sapphireladder::Testbed {

namespace {

constexpr std::string_view idLabel = "\nrequest-id: ";
constexpr std::string_view checksumLabel = "\nchecksum: ";

} // namespace

std::string makeResponseBody(std::string_view text, std::string_view requestId, std::size_t padding)
{
    std::string body(text);
    body.append(idLabel).append(requestId);
    if (padding > 0)
        body.append("\n").append(padding, 'x');
    const auto checksum = digestOf(body).string();
    body.append(checksumLabel).append(checksum).append("\n");
    return body;
}

BodyCheck checkResponseBody(std::string_view body, std::string_view requestId)
{
    const auto checksumPosition = body.rfind(checksumLabel);
    if (checksumPosition == std::string_view::npos || !body.ends_with('\n'))
        return BodyCheck::Corrupt;
    const auto content = body.substr(0, checksumPosition);
    auto checksum = body.substr(checksumPosition + checksumLabel.size());
    checksum.remove_suffix(1);
    if (digestOf(content).view() != checksum)
        return BodyCheck::Corrupt;
    const auto idPosition = content.find(idLabel);
    if (idPosition == std::string_view::npos)
        return BodyCheck::Corrupt;
    const auto rest = content.substr(idPosition + idLabel.size());
    return rest.substr(0, rest.find('\n')) == requestId ? BodyCheck::Valid
                                                        : BodyCheck::OtherRequest;
}

} // namespace Sapphireladder::Testbed
