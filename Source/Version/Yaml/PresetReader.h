#pragma once

#include "Version/Yaml/YamlSection.h"

#include <memory>
#include <optional>
#include <string_view>

namespace Sapphireladder {

/**
 * Reads and validates a preset.
 * @param text YAML text of the preset
 * @param errors receives all errors
 * @return the preset, or nothing if there is any error.
 */
std::optional<Preset> readPreset(std::string_view text, YamlErrors &errors);

/**
 * Reads a preset's text into a snapshot.
 * @param version number of the switch that activated the preset
 * @param text YAML text of the preset
 * @return the snapshot, or the first error.
 */
Result<std::shared_ptr<const PresetSnapshot>> readSnapshot(PresetVersion version,
                                                           std::string_view text);

} // namespace Sapphireladder
