#pragma once

#include "Version/Version.h"

#include <yaml-cpp/yaml.h>

#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** Collects the errors found in one YAML file. */
class YamlErrors
{
public:
    /** @param file name of the file in messages */
    explicit YamlErrors(std::string file)
        : m_file(std::move(file))
    {}

    /** Adds an error. @param line line number, starting at 1 */
    void add(VersionError code, std::string subject, std::size_t line);
    const std::vector<Error> &list() const { return m_errors; }

private:
    std::string m_file;
    std::vector<Error> m_errors;
};

/** Whether a key must be present. */
enum class Presence {
    Optional,
    Required,
};

/** Inclusive range of allowed values. */
template<typename T>
struct Range
{
    T min;
    T max;
};

/**
 * Strict reader of one YAML mapping. Each call reads one key; finish() reports the keys that were
 * not read. Errors are collected, and a value with an error is left unchanged.
 */
class YamlSection
{
public:
    /**
     * @param node node that must be a mapping
     * @param errors receives the errors; must outlive the section
     * @param name name of the section in messages
     */
    YamlSection(const YAML::Node &node, YamlErrors &errors, std::string name);

    void text(std::string_view key, std::string &value, Presence presence = Presence::Optional);
    /** Reads a string that must be one of the choices. */
    void choice(std::string_view key, std::string &value,
                std::span<const std::string_view> choices);
    void boolean(std::string_view key, bool &value);
    void duration(std::string_view key, Duration &value, Range<Duration> range);
    void number(std::string_view key, double &value, Range<double> range);
    /** Reads an integer into an unsigned type. */
    template<typename T>
    void unsignedInteger(std::string_view key, T &value, Range<T> range)
    {
        const auto n = readUnsignedInteger(key, {range.min, range.max});
        if (n)
            value = static_cast<T>(*n);
    }
    void endpoint(std::string_view key, Endpoint &value, Presence presence = Presence::Optional);
    /** Reads a non-empty string into an identifier. */
    template<typename Tag>
    void identifier(std::string_view key, Identifier<Tag> &value, Presence presence)
    {
        std::string name;
        text(key, name, presence);
        if (!name.empty())
            value = Identifier<Tag>(std::move(name));
    }
    /** @return the mapping under the key, or nothing if it is absent. */
    std::optional<YamlSection> section(std::string_view key);
    /** @return the mappings of the list under the key. */
    std::vector<YamlSection> sections(std::string_view key, Presence presence);
    /** @return the items of the list under the key. */
    std::vector<YAML::Node> items(std::string_view key);

    /** Reports unknown and duplicate keys. */
    void finish();

    /** Adds an error at the line of the key, or of the section if the key is absent. */
    void addError(VersionError code, std::string_view key, std::string_view detail = {});

private:
    std::optional<YAML::Node> find(std::string_view key, Presence presence);
    std::optional<std::string> scalar(std::string_view key, Presence presence);
    std::optional<std::uint64_t> readUnsignedInteger(std::string_view key,
                                                     Range<std::uint64_t> range);
    std::size_t line() const;

    YAML::Node m_node;
    YamlErrors *m_errors;
    std::string m_name;
    std::set<std::string, std::less<>> m_readKeys;
};

} // namespace Sapphireladder
