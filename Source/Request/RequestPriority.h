#pragma once

#include "Version/Version.h"

#include <compare>

namespace Sapphireladder {

/** Rank of a request among those to the same service. Less is more urgent. */
struct RequestPriority
{
    /** Of the caller's workspace; 0 without one. */
    unsigned workspace = 0;
    unsigned route = 0;

    /** The workspace's priority goes before the route's. */
    friend auto operator<=>(const RequestPriority &,
                            const RequestPriority &) = default; // NOLINT(modernize-use-nullptr)
};

} // namespace Sapphireladder
