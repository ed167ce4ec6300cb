#pragma once

#include "Process/Process.h"
#include "Version/Yaml/VersionYaml.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/**
 * Reads and checks the settings of a process.
 * @param text YAML text of the settings
 * @param faults collects everything that is wrong
 * @return the settings, or nothing if there is any fault.
 */
std::optional<Settings> readSettings(std::string_view text, YamlErrors &faults);

} // namespace Sapphireladder
