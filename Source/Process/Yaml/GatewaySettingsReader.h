#pragma once

#include "Process/Process.h"
#include "Version/Yaml/VersionYaml.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/**
 * Reads the settings of a gateway.
 * @param text YAML document
 * @param faults collects what is wrong
 * @return the settings, or nothing if anything is wrong.
 */
std::optional<GatewaySettings> readGatewaySettings(std::string_view text, YamlErrors &faults);

} // namespace Sapphireladder
