#pragma once

#include "Core/Core.h"

#include <string>
#include <vector>

namespace Sapphireladder {

/** Digest of an API key. The keys themselves are not kept, so that they cannot leak. */
using KeyDigest = std::string;

/** A customer whose callers identify themselves by API keys. */
struct Workspace
{
    std::string name;
    std::vector<KeyDigest> keys;
    /** Goes before the priority of a route; 0 is the highest. */
    unsigned priority = 0;
    /** Requests per second that all VMs together may pass on. Zero if there is no limit. */
    double requestsPerSecond = 0;
    /** Requests beyond the rate that may be passed on after a time of less use. */
    double burst = 0;

    /** @return whether the workspace has an allowance. */
    bool isLimited() const { return requestsPerSecond > 0; }

    friend bool operator==(const Workspace &, const Workspace &) = default;
};

} // namespace Sapphireladder
