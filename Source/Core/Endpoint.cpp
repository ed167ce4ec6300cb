#include "Core/Core.h"

#include <arpa/inet.h>

namespace Sapphireladder {

Result<Endpoint> Endpoint::parse(std::string_view text)
{
    const auto error = makeError(CoreError::InvalidEndpoint, std::string(text));
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return error;
    const std::string host(text.substr(0, colon));
    in_addr address{};
    // inet_pton() would ignore everything from an embedded null byte on.
    if (host.find('\0') != std::string::npos)
        return error;
    if (inet_pton(AF_INET, host.c_str(), &address) != 1)
        return error;
    const auto port = parseUnsigned(text.substr(colon + 1));
    if (!port || port.value() == 0 || port.value() > UINT16_MAX)
        return error;
    return Endpoint{host, static_cast<std::uint16_t>(port.value())};
}

} // namespace Sapphireladder
