#include "Version/Yaml/VersionYaml.h"

#include <fstream>
#include <iterator>

namespace Sapphireladder {

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
    if (!in.good() && !in.eof())
        return makeError(VersionError::FileUnreadable, path);
    return text;
}

std::optional<YAML::Node> parseYaml(std::string_view text, YamlErrors &errors)
{
    try {
        return YAML::Load(std::string(text));
    } catch (const YAML::Exception &ex) {
        const auto line = static_cast<std::size_t>(std::max(ex.mark.line, 0)) + 1;
        errors.add(VersionError::InvalidYaml, ex.msg, line);
        return std::nullopt;
    }
}

} // namespace Sapphireladder
