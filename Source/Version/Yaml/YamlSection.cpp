#include "Version/Yaml/VersionYaml.h"

#include <algorithm>
#include <charconv>

namespace Sapphireladder {

namespace {

std::size_t lineOf(const YAML::Node &node)
{
    return static_cast<std::size_t>(std::max(node.Mark().line, 0)) + 1;
}

} // namespace

void YamlErrors::add(VersionError code, std::string subject, std::size_t line)
{
    m_errors.push_back({make_error_code(code), std::move(subject), FilePosition{m_file, line}});
}

YamlSection::YamlSection(const YAML::Node &node, YamlErrors &errors, std::string name)
    : m_node(node)
    , m_errors(&errors)
    , m_name(std::move(name))
{
    if (!m_node.IsMap())
        m_errors->add(VersionError::WrongType, m_name + ": expected a mapping", line());
}

std::size_t YamlSection::line() const
{
    return lineOf(m_node);
}

std::optional<YAML::Node> YamlSection::find(std::string_view key, Presence presence)
{
    m_readKeys.emplace(key);
    if (!m_node.IsMap())
        return std::nullopt;
    for (const auto &it : m_node) {
        if (it.first.IsScalar() && it.first.Scalar() == key)
            return it.second;
    }
    if (presence == Presence::Required)
        m_errors->add(VersionError::MissingKey, m_name + "." + std::string(key), line());
    return std::nullopt;
}

void YamlSection::addError(VersionError code, std::string_view key, std::string_view detail)
{
    std::string subject = m_name + "." + std::string(key);
    if (!detail.empty())
        subject += " = " + std::string(detail);
    const auto node = find(key, Presence::Optional);
    m_errors->add(code, std::move(subject), node ? lineOf(*node) : line());
}

std::optional<std::string> YamlSection::scalar(std::string_view key, Presence presence)
{
    const auto node = find(key, presence);
    if (!node)
        return std::nullopt;
    if (!node->IsScalar()) {
        addError(VersionError::WrongType, key);
        return std::nullopt;
    }
    return node->Scalar();
}

void YamlSection::text(std::string_view key, std::string &value, Presence presence)
{
    auto found = scalar(key, presence);
    if (!found)
        return;
    if (found->empty())
        addError(VersionError::OutOfRange, key, "must not be empty");
    else
        value = std::move(*found);
}

void YamlSection::choice(std::string_view key, std::string &value,
                         std::span<const std::string_view> choices)
{
    auto found = scalar(key, Presence::Optional);
    if (!found)
        return;
    if (std::find(choices.begin(), choices.end(), *found) == choices.end())
        addError(VersionError::UnknownChoice, key, *found);
    else
        value = std::move(*found);
}

void YamlSection::boolean(std::string_view key, bool &value)
{
    const auto found = scalar(key, Presence::Optional);
    if (!found)
        return;
    if (*found == "true" || *found == "false")
        value = *found == "true";
    else
        addError(VersionError::WrongType, key, *found);
}

void YamlSection::duration(std::string_view key, Duration &value, Range<Duration> range)
{
    const auto found = scalar(key, Presence::Optional);
    if (!found)
        return;
    const auto parsed = parseDuration(*found);
    if (!parsed)
        addError(VersionError::WrongUnit, key, *found);
    else if (parsed.value() < range.min || parsed.value() > range.max)
        addError(VersionError::OutOfRange, key, *found);
    else
        value = parsed.value();
}

void YamlSection::number(std::string_view key, double &value, Range<double> range)
{
    const auto found = scalar(key, Presence::Optional);
    if (!found)
        return;
    double n = 0;
    const auto *end = found->data() + found->size();
    const auto [stop, ec] = std::from_chars(found->data(), end, n, std::chars_format::fixed);
    if (ec != std::errc() || stop != end)
        addError(VersionError::WrongType, key, *found);
    else if (!(n >= range.min && n <= range.max))
        addError(VersionError::OutOfRange, key, *found);
    else
        value = n;
}

std::optional<std::uint64_t> YamlSection::readUnsignedInteger(std::string_view key,
                                                              Range<std::uint64_t> range)
{
    const auto found = scalar(key, Presence::Optional);
    if (!found)
        return std::nullopt;
    const auto parsed = parseUnsigned(*found);
    if (!parsed) {
        addError(VersionError::WrongType, key, *found);
        return std::nullopt;
    }
    if (parsed.value() < range.min || parsed.value() > range.max) {
        addError(VersionError::OutOfRange, key, *found);
        return std::nullopt;
    }
    return parsed.value();
}

void YamlSection::endpoint(std::string_view key, Endpoint &value, Presence presence)
{
    const auto found = scalar(key, presence);
    if (!found)
        return;
    auto parsed = Endpoint::parse(*found);
    if (parsed)
        value = std::move(parsed.value());
    else
        addError(VersionError::WrongType, key, *found);
}

std::optional<YamlSection> YamlSection::section(std::string_view key)
{
    const auto node = find(key, Presence::Optional);
    if (!node)
        return std::nullopt;
    return YamlSection(*node, *m_errors, m_name + "." + std::string(key));
}

std::vector<YAML::Node> YamlSection::items(std::string_view key)
{
    std::vector<YAML::Node> result;
    const auto node = find(key, Presence::Optional);
    if (!node)
        return result;
    if (!node->IsSequence()) {
        addError(VersionError::WrongType, key, "expected a list");
        return result;
    }
    for (const auto &it : *node)
        result.push_back(it);
    return result;
}

std::vector<YamlSection> YamlSection::sections(std::string_view key, Presence presence)
{
    std::vector<YamlSection> result;
    if (presence == Presence::Required)
        find(key, presence);
    std::size_t n = 0;
    for (const auto &it : items(key)) {
        const auto name = m_name + "." + std::string(key) + "[" + std::to_string(n++) + "]";
        result.emplace_back(it, *m_errors, name);
    }
    return result;
}

void YamlSection::finish()
{
    if (!m_node.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto &it : m_node) {
        const auto key = it.first.IsScalar() ? it.first.Scalar() : std::string("?");
        if (!m_readKeys.contains(key))
            m_errors->add(VersionError::UnknownKey, m_name + "." + key, lineOf(it.first));
        if (!seen.insert(key).second)
            m_errors->add(VersionError::DuplicateName, m_name + "." + key, lineOf(it.first));
    }
}

} // namespace Sapphireladder
