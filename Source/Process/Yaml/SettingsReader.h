#pragma once

#include "Process/Process.h"
#include "Version/Yaml/VersionYaml.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/**
 * Reads and validates the settings of the `serve` command.
 * @param text YAML document
 * @param errors receives each error found
 * @return the settings, or nothing if there is any error.
 */
std::optional<Settings> readSettings(std::string_view text, YamlErrors &errors);

} // namespace Sapphireladder
