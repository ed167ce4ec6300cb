#include "Process/Http/ProcessHttp.h"

#include <nlohmann/json.hpp>

namespace Sapphireladder {

namespace {

using nlohmann::json;

json toJson(const ActivePreset &activePreset)
{
    json recent = json::array();
    for (const auto &it : activePreset.recentOperations)
        recent.push_back({{"operation", it.operation.string()}, {"version", it.version}});
    return {{"version", activePreset.version},
            {"preset", activePreset.preset.string()},
            {"digest", activePreset.digest.string()},
            {"operation", activePreset.operation.string()},
            {"author", activePreset.author},
            {"recent", std::move(recent)}};
}

ActivePreset fromJson(const json &object)
{
    ActivePreset activePreset;
    activePreset.version = object.at("version").get<PresetVersion>();
    activePreset.preset = PresetName(object.at("preset").get<std::string>());
    activePreset.digest = ContentDigest(object.at("digest").get<std::string>());
    activePreset.operation = OperationId(object.at("operation").get<std::string>());
    activePreset.author = object.at("author").get<std::string>();
    for (const auto &it : object.at("recent")) {
        activePreset.recentOperations.push_back({OperationId(it.at("operation").get<std::string>()),
                                                 it.at("version").get<PresetVersion>()});
    }
    return activePreset;
}

} // namespace

std::string encodeActivePreset(const ActivePreset &activePreset)
{
    return toJson(activePreset).dump();
}

Result<ActivePreset> decodeActivePreset(std::string_view text)
{
    try {
        return fromJson(json::parse(text));
    } catch (const json::exception &) {
        return makeError(ProcessError::StoreResponseInvalid,
                         "in-force row: invalid JSON or field missing");
    }
}

std::string encodeSwitchRequest(const SwitchRequest &request)
{
    return json({{"preset", request.preset.string()},
                 {"operation", request.operation.string()},
                 {"author", request.author},
                 {"expected_version", request.expectedVersion}})
            .dump();
}

Result<SwitchRequest> decodeSwitchRequest(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        SwitchRequest request;
        request.preset = PresetName(object.at("preset").get<std::string>());
        request.operation = OperationId(object.at("operation").get<std::string>());
        request.author = object.value("author", "");
        request.expectedVersion = object.value("expected_version", PresetVersion(0));
        if (request.preset.isEmpty() || request.operation.isEmpty())
            return makeError(ProcessError::AdminResponseInvalid,
                             "switch request: preset and operation must not be empty");
        return request;
    } catch (const json::exception &) {
        return makeError(ProcessError::AdminResponseInvalid,
                         "switch request: invalid JSON or field missing");
    }
}

std::string encodeSwitchResult(const SwitchResult &result)
{
    json object = {{"status", std::string(nameOf(result.status))},
                   {"in_force", toJson(result.activePreset)}};
    if (result.reason)
        object["reason"] = result.reason.message();
    return object.dump();
}

} // namespace Sapphireladder
