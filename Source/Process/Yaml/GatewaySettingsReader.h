#pragma once

#include "Process/Process.h"
#include "Version/Yaml/VersionYaml.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/**
 * Reads and validates the settings of the `gateway` command.
 * @param text YAML document
 * @param errors receives each error found
 * @return the settings, or nothing if there is any error.
 */
std::optional<GatewaySettings> readGatewaySettings(std::string_view text, YamlErrors &errors);

} // namespace Sapphireladder
