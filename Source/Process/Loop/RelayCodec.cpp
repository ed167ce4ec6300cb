#include "Process/Loop/ProcessLoop.h"

#include <Poco/DeflatingStream.h>
#include <Poco/Exception.h>
#include <Poco/InflatingStream.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include <array>
#include <sstream>

namespace Sapphireladder {

namespace {

using Json = nlohmann::json;

constexpr std::array<const char *, rowTableCount> tableNames = {"routes", "targets"};
/** Size from which a message is compressed. Most messages hold a single change or none. */
constexpr std::size_t minCompressedBytes = 4 * kibibyte;
/** Largest message after decompression. The records of 2,400 targets take about 1 MB. */
constexpr std::size_t maxMessageBytes = 32 * mebibyte;
/** First byte of a zlib stream. No JSON text begins with it. */
constexpr char zlibMarker = 0x78;

std::string compress(const std::string &text)
{
    std::ostringstream out;
    Poco::DeflatingOutputStream deflater(out, Poco::DeflatingStreamBuf::STREAM_ZLIB);
    deflater << text;
    deflater.close();
    return out.str();
}

std::optional<std::string> decompress(std::string_view bytes)
{
    std::istringstream in{std::string(bytes)};
    Poco::InflatingInputStream inflater(in, Poco::InflatingStreamBuf::STREAM_ZLIB);
    std::string text;
    std::array<char, 16 * kibibyte> block{};
    try {
        while (inflater.read(block.data(), block.size()) || inflater.gcount() > 0) {
            text.append(block.data(), static_cast<std::size_t>(inflater.gcount()));
            if (text.size() > maxMessageBytes)
                return std::nullopt;
        }
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    return text;
}

/** Without the clients: the receiver gets the fleet size instead. */
Json encodeMember(const FleetMember &member)
{
    return {{"vm", member.vm.string()},
            {"zone", member.zone.string()},
            {"relay", member.relayEndpoint.toString()},
            {"cores", member.cores}};
}

std::optional<FleetMember> decodeMember(const Json &object)
{
    if (!object.is_object() || !object.contains("vm") || !object["vm"].is_string()
        || !object.contains("zone") || !object["zone"].is_string() || !object.contains("relay")
        || !object["relay"].is_string() || !object.contains("cores")
        || !object["cores"].is_number())
        return std::nullopt;
    const auto endpoint = Endpoint::parse(object["relay"].get<std::string>());
    if (!endpoint)
        return std::nullopt;
    return FleetMember{VmId(object["vm"].get<std::string>()),
                       ZoneName(object["zone"].get<std::string>()), endpoint.value(),
                       object["cores"].get<double>(), std::nullopt};
}

/** @return the era of a position; 0 if it is not stated. */
std::uint64_t decodeEra(const Json &object)
{
    const auto it = object.find("era");
    return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

std::optional<FleetList> decodeFleet(const Json &object)
{
    if (!object.is_object() || !object.contains("position")
        || !object["position"].is_number_unsigned() || !object.contains("members")
        || !object["members"].is_array())
        return std::nullopt;
    FleetList list;
    list.position = {object["position"].get<std::uint64_t>(), decodeEra(object)};
    for (const auto &it : object["members"]) {
        auto member = decodeMember(it);
        if (!member)
            return std::nullopt;
        list.members.push_back(std::move(*member));
    }
    return list;
}

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
    table.position = {object["position"].get<std::uint64_t>(), decodeEra(object)};
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
    Poco::URI uri;
    uri.setPath(std::string(relayPath));
    for (std::size_t i = 0; i < query.positions.size(); ++i)
        uri.addQueryParameter(tableNames[i], std::to_string(query.positions[i].version));
    uri.addQueryParameter("fleet", std::to_string(query.fleetPosition.version));
    uri.addQueryParameter("vm", query.vm.string());
    if (query.isImmediate)
        uri.addQueryParameter("immediate");
    return uri.toString();
}

std::optional<RelayQuery> decodeRelayTarget(std::string_view target)
{
    if (!target.starts_with(relayPath))
        return std::nullopt;
    RelayQuery query;
    std::map<std::string, std::uint64_t *> numbers = {{"fleet", &query.fleetPosition.version}};
    for (std::size_t i = 0; i < query.positions.size(); ++i)
        numbers.emplace(tableNames[i], &query.positions[i].version);
    try {
        for (const auto &[name, value] : Poco::URI(std::string(target)).getQueryParameters()) {
            if (name == "immediate") {
                query.isImmediate = true;
            } else if (name == "vm") {
                query.vm = VmId(value);
            } else {
                const auto number = numbers.extract(name);
                const auto n = parseUnsigned(value);
                if (!number || !n)
                    return std::nullopt;
                *number.mapped() = n.value();
            }
        }
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
    return numbers.empty() && !query.vm.isEmpty() ? std::optional(query) : std::nullopt;
}

std::string encodeRelayEras(const RelayQuery &query)
{
    std::string value;
    for (const auto &it : query.positions)
        value += std::to_string(it.era) + ',';
    return value + std::to_string(query.fleetPosition.era);
}

void decodeRelayEras(std::string_view value, RelayQuery &query)
{
    std::array<std::uint64_t, rowTableCount + 1> eras{};
    for (auto &it : eras) {
        const auto end = std::min(value.find(','), value.size());
        const auto era = parseUnsigned(value.substr(0, end));
        if (!era)
            return;
        it = era.value();
        value.remove_prefix(std::min(end + 1, value.size()));
    }
    for (std::size_t i = 0; i < rowTableCount; ++i)
        query.positions[i].era = eras[i];
    query.fleetPosition.era = eras.back();
    query.hasEras = true;
}

std::string encodeRelayTimes(const RelayTimes &times)
{
    std::string value;
    for (const auto &it : times) {
        // Rounded down, so that the copy never looks more recent than it is.
        const auto ms = std::chrono::floor<std::chrono::milliseconds>(it).count();
        value += (value.empty() ? "" : ",") + std::to_string(ms);
    }
    return value;
}

std::optional<RelayTimes> decodeRelayTimes(std::string_view value)
{
    RelayTimes times{};
    for (auto &it : times) {
        const auto end = std::min(value.find(','), value.size());
        const bool isNegative = value.starts_with('-');
        const auto ms = parseUnsigned(value.substr(isNegative ? 1 : 0, end - (isNegative ? 1 : 0)));
        constexpr std::uint64_t maxMs = 1'000'000'000;
        if (!ms || ms.value() > maxMs)
            return std::nullopt;
        it = std::chrono::milliseconds(ms.value()) * (isNegative ? -1 : 1);
        value.remove_prefix(std::min(end + 1, value.size()));
    }
    return times;
}

std::string encodeRelayChanges(const RelayChanges &changes)
{
    Json object = Json::object();
    for (std::size_t i = 0; i < rowTableCount; ++i) {
        auto rows = Json::array();
        for (const auto &it : changes.tables[i].rows)
            rows.push_back(encodeRow(it));
        object[tableNames[i]] = {{"position", changes.tables[i].position.version},
                                 {"era", changes.tables[i].position.era},
                                 {"rows", std::move(rows)}};
        if (changes.tables[i].isFullTable)
            object[tableNames[i]]["whole"] = true;
    }
    object["vms"] = changes.fleetSize;
    if (changes.fleet) {
        auto members = Json::array();
        for (const auto &it : changes.fleet->members)
            members.push_back(encodeMember(it));
        object["fleet"] = {{"position", changes.fleet->position.version},
                           {"era", changes.fleet->position.era},
                           {"members", std::move(members)}};
    }
    // Rows of other writers may hold invalid UTF-8. Replacing it does no harm, since no usable
    // target record contains such bytes.
    auto text = object.dump(-1, ' ', false, Json::error_handler_t::replace);
    return text.size() < minCompressedBytes ? text : compress(text);
}

Result<RelayChanges> decodeRelayChanges(std::string_view text)
{
    std::optional<std::string> decompressed;
    if (text.starts_with(zlibMarker)) {
        decompressed = decompress(text);
        if (!decompressed)
            return makeError(ProcessError::PeerMessageInvalid, "compression");
        text = *decompressed;
    }
    const auto object = Json::parse(text, nullptr, false);
    RelayChanges changes;
    for (std::size_t i = 0; i < rowTableCount; ++i) {
        if (!object.is_object() || !object.contains(tableNames[i]))
            return makeError(ProcessError::PeerMessageInvalid, tableNames[i]);
        auto table = decodeTable(object[tableNames[i]]);
        if (!table)
            return makeError(ProcessError::PeerMessageInvalid, tableNames[i]);
        changes.tables[i] = std::move(*table);
        changes.hasEras = object[tableNames[i]].contains("era");
    }
    if (object.contains("vms") && object["vms"].is_number_unsigned())
        changes.fleetSize = object["vms"].get<unsigned>();
    if (object.contains("fleet")) {
        changes.fleet = decodeFleet(object["fleet"]);
        if (!changes.fleet)
            return makeError(ProcessError::PeerMessageInvalid, "fleet");
    }
    return changes;
}

} // namespace Sapphireladder
