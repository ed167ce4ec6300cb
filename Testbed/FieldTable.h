#pragma once

#include "Core/Core.h"
#include "Testbed/TestbedError.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <span>
#include <string>
#include <string_view>

namespace Sapphireladder::Testbed {

/** A field that can be set by its name, from JSON or from the command line. */
template<typename Object>
struct Field
{
    std::string_view name;
    std::string_view help;
    /** Sets the field from text. @return false if the text is not a valid value. */
    bool (*set)(Object &object, std::string_view text);
};

bool parseValue(std::string_view text, bool &value);
bool parseValue(std::string_view text, unsigned &value);
bool parseValue(std::string_view text, std::uint64_t &value);
bool parseValue(std::string_view text, double &value);
bool parseValue(std::string_view text, Duration &value);
bool parseValue(std::string_view text, std::string &value);

/** Looks up a row by name in the table that tableOf() returns for the type of the row. */
template<typename Row>
bool parseValue(std::string_view text, const Row *&value)
{
    for (const auto &it : tableOf(value)) {
        if (it.name == text) {
            value = &it;
            return true;
        }
    }
    return false;
}

/** Parses the text into a member; for use as Field::set. */
template<auto Member, typename Object>
bool setMember(Object &object, std::string_view text)
{
    return parseValue(text, object.*Member);
}

/** Sets one field. @return UnknownField or InvalidValue on failure. */
template<typename Object>
Result<> setField(Object &object, std::span<const Field<Object>> fields, std::string_view name,
                  std::string_view text)
{
    const auto it = std::find_if(fields.begin(), fields.end(),
                                 [name](const auto &field) { return field.name == name; });
    if (it == fields.end())
        return makeError(TestbedError::UnknownField, std::string(name));
    if (!it->set(object, text))
        return makeError(TestbedError::InvalidValue, std::string(name));
    return success();
}

/**
 * Sets the fields that a JSON object contains.
 * @param object changed only if every field is valid
 * @param json text of the JSON object
 * @return names of the fields that were set.
 */
template<typename Object>
Result<std::vector<std::string>> setFields(Object &object, std::span<const Field<Object>> fields,
                                           std::string_view json)
{
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    if (!parsed.is_object())
        return makeError(TestbedError::NotAnObject);
    auto changed = object;
    std::vector<std::string> names;
    for (const auto &[name, value] : parsed.items()) {
        const auto text = value.is_string() ? value.template get<std::string>() : value.dump();
        TRY(setField(changed, fields, name, text));
        names.push_back(name);
    }
    object = changed;
    return names;
}

} // namespace Sapphireladder::Testbed
