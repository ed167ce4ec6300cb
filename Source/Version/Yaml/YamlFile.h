#pragma once

#include "Version/Yaml/YamlSection.h"

#include <optional>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** @return the file's text, or VersionError::FileUnreadable. */
Result<std::string> readTextFile(const std::string &path);

/**
 * Parses YAML text.
 * @param text one YAML document
 * @param errors receives VersionError::InvalidYaml if the text cannot be parsed
 * @return the document, or nothing.
 */
std::optional<YAML::Node> parseYaml(std::string_view text, YamlErrors &errors);

} // namespace Sapphireladder
