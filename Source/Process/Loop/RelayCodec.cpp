#include "Process/Loop/ProcessLoop.h"

#include <nlohmann/json.hpp>

namespace Sapphireladder {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, rowTableCount> tableNames = {"routes", "targets"};
/** Suffix of a request target that asks for an immediate response. */
constexpr std::string_view immediateSuffix = "&immediate";

Json encodeRow(const SourceRow &row)
{
    if (row.isDeleted)
        return {{"key", row.key}, {"version", row.version}, {"deleted", true}};
    return {{"key", row.key}, {"version", row.version}, {"value", row.value}};
}

std::optional<SourceRow> decodeRow(const Json &object)
{
    if (!object.is_object() || !object.contains("key") || !object["key"].is_string()
        || !object.contains("version") || !object["version"].is_number_unsigned())
        return std::nullopt;
    SourceRow row;
    row.key = object["key"].get<std::string>();
    row.version = object["version"].get<std::uint64_t>();
    row.isDeleted = object.contains("deleted");
    if (row.isDeleted)
        return row;
    if (!object.contains("value") || !object["value"].is_string())
        return std::nullopt;
    row.value = object["value"].get<std::string>();
    return row;
}

std::optional<RelayChanges::Table> decodeTable(const Json &object)
{
    if (!object.is_object() || !object.contains("position")
        || !object["position"].is_number_unsigned() || !object.contains("rows")
        || !object["rows"].is_array())
        return std::nullopt;
    RelayChanges::Table table;
    table.position = object["position"].get<std::uint64_t>();
    table.isFullTable = object.contains("whole");
    for (const auto &it : object["rows"]) {
        auto row = decodeRow(it);
        if (!row)
            return std::nullopt;
        table.rows.push_back(std::move(*row));
    }
    return table;
}

} // namespace

std::string encodeRelayTarget(const RelayQuery &query)
{
    std::string target(relayPath);
    char separator = '?';
    for (std::size_t i = 0; i < query.positions.size(); ++i) {
        target += separator;
        target.append(tableNames[i]).append("=").append(std::to_string(query.positions[i]));
        separator = '&';
    }
    if (query.isImmediate)
        target += immediateSuffix;
    return target;
}

std::optional<RelayQuery> decodeRelayTarget(std::string_view target)
{
    if (!target.starts_with(relayPath))
        return std::nullopt;
    target.remove_prefix(relayPath.size());
    RelayQuery query;
    if (target.ends_with(immediateSuffix)) {
        query.isImmediate = true;
        target.remove_suffix(immediateSuffix.size());
    }
    for (std::size_t i = 0; i < query.positions.size(); ++i) {
        const auto name = std::string(1, i == 0 ? '?' : '&') + tableNames[i] + '=';
        if (!target.starts_with(name))
            return std::nullopt;
        target.remove_prefix(name.size());
        const auto end = std::min(target.find('&'), target.size());
        const auto n = parseUnsigned(target.substr(0, end));
        if (!n)
            return std::nullopt;
        query.positions[i] = n.value();
        target.remove_prefix(end);
    }
    return target.empty() ? std::optional(query) : std::nullopt;
}

std::string encodeRelayChanges(const RelayChanges &changes)
{
    Json object = Json::object();
    for (std::size_t i = 0; i < rowTableCount; ++i) {
        auto rows = Json::array();
        for (const auto &it : changes.tables[i].rows)
            rows.push_back(encodeRow(it));
        object[tableNames[i]] = {{"position", changes.tables[i].position},
                                 {"rows", std::move(rows)}};
        if (changes.tables[i].isFullTable)
            object[tableNames[i]]["whole"] = true;
    }
    // Rows of other writers may hold invalid UTF-8. Replacing it does no harm, since no usable
    // target record contains such bytes.
    return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<RelayChanges> decodeRelayChanges(std::string_view text)
{
    const auto object = Json::parse(text, nullptr, false);
    RelayChanges changes;
    for (std::size_t i = 0; i < rowTableCount; ++i) {
        if (!object.is_object() || !object.contains(tableNames[i]))
            return makeError(ProcessError::PeerMessageInvalid, tableNames[i]);
        auto table = decodeTable(object[tableNames[i]]);
        if (!table)
            return makeError(ProcessError::PeerMessageInvalid, tableNames[i]);
        changes.tables[i] = std::move(*table);
    }
    return changes;
}

} // namespace Sapphireladder
