#pragma once

#include "Core/Core.h"

#include <span>
#include <string>

namespace Sapphireladder {

/** @return the event as "E210 preset-switch-accepted key=value ...", without a line feed. */
std::string formatEvent(EventId id, std::span<const EventField> fields);

} // namespace Sapphireladder
