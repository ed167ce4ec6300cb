#pragma once

#include "Core/Result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** An IPv4 address and a port. */
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    /**
     * @param text "IPv4:port"
     * @return the endpoint, or CoreError::InvalidEndpoint.
     */
    static Result<Endpoint> parse(std::string_view text);
    /** @return "IPv4:port". */
    std::string toString() const { return host + ":" + std::to_string(port); }

    friend auto operator<=>(const Endpoint &,
                            const Endpoint &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace Sapphireladder
