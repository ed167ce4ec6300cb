#pragma once

#include "Version/Version.h"

#include <memory>

namespace Sapphireladder {

/** A slot of a target, held for one attempt. */
struct TargetLease
{
    const TargetSpec *target = nullptr;
    /** Index of the target in the view that `owner` keeps alive. */
    std::size_t index = 0;
    /** Keeps alive the view that `target` points into. */
    std::shared_ptr<const void> owner;
};

} // namespace Sapphireladder
