#include "Process/Http/ProcessHttp.h"

#include <Poco/Net/HTTPResponse.h>

#include <nlohmann/json.hpp>

namespace Sapphireladder {

namespace {

std::string rowPath(std::string_view table, std::string_view key)
{
    return "/tables/" + encodePathSegment(table) + "/" + encodePathSegment(key);
}

/** @return the response to a GET if its status is 200 or 404, or ProcessError::StoreUnavailable. */
Result<CompleteResponse> getResource(PlatformClient &client, std::string path)
{
    const PlatformRequest request{"GET", path, {}, {}};
    auto result = client.call(request);
    if (auto *response = std::get_if<CompleteResponse>(&result)) {
        const auto status = response->head.status;
        if (status == Poco::Net::HTTPResponse::HTTP_OK
            || status == Poco::Net::HTTPResponse::HTTP_NOT_FOUND)
            return std::move(*response);
    }
    return makeError(ProcessError::StoreUnavailable, std::move(path));
}

bool isFound(const CompleteResponse &response)
{
    return response.head.status == Poco::Net::HTTPResponse::HTTP_OK;
}

} // namespace

Result<std::optional<TableRow>> TableClient::read(std::string_view table, std::string_view key)
{
    TRY_ASSIGN(response, getResource(m_client, rowPath(table, key)));
    if (!isFound(response))
        return std::optional<TableRow>();
    return std::optional(TableRow{std::string(key), std::move(response.body),
                                  std::string(fieldValue(response.head.fields, "ETag"))});
}

Result<std::vector<TableRow>> TableClient::list(std::string_view table, std::string_view prefix)
{
    const auto path = "/tables/" + encodePathSegment(table)
                      + "?prefix=" + encodePathSegment(prefix);
    TRY_ASSIGN(response, getResource(m_client, path));
    std::vector<TableRow> rows;
    if (!isFound(response))
        return rows;
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_array())
        return makeError(ProcessError::StoreResponseInvalid, path);
    for (const auto &it : json) {
        const bool isValid = it.is_object() && it.contains("key") && it.contains("value")
                             && it.contains("tag") && it["key"].is_string()
                             && it["value"].is_string() && it["tag"].is_string();
        if (!isValid)
            return makeError(ProcessError::StoreResponseInvalid, path);
        rows.push_back({it["key"], it["value"], it["tag"]});
    }
    return rows;
}

WriteResult TableClient::write(const PlatformRequest &request)
{
    const auto result = m_client.call(request);
    if (std::holds_alternative<NotRun>(result))
        return {WriteStatus::NotWritten, {}};
    const auto *response = std::get_if<CompleteResponse>(&result);
    if (!response)
        return {WriteStatus::Unknown, {}};
    const unsigned status = response->head.status;
    if (status >= 200 && status < 300)
        return {WriteStatus::Written, std::string(fieldValue(response->head.fields, "ETag"))};
    if (status == Poco::Net::HTTPResponse::HTTP_PRECONDITION_FAILED)
        return {WriteStatus::ConditionFailed, {}};
    // A 4xx status means the request was rejected before the write. A 5xx status may follow it.
    return {status < 500 ? WriteStatus::NotWritten : WriteStatus::Unknown, {}};
}

WriteResult TableClient::insert(std::string_view table, std::string_view key,
                                std::string_view value)
{
    return write({"PUT", rowPath(table, key), {{"If-None-Match", "*"}}, value});
}

WriteResult TableClient::update(std::string_view table, std::string_view key,
                                std::string_view value, std::string_view tag)
{
    return write({"PUT", rowPath(table, key), {{"If-Match", std::string(tag)}}, value});
}

WriteResult TableClient::put(std::string_view table, std::string_view key, std::string_view value)
{
    return write({"PUT", rowPath(table, key), {}, value});
}

WriteResult TableClient::remove(std::string_view table, std::string_view key, std::string_view tag)
{
    return write({"DELETE", rowPath(table, key), {{"If-Match", std::string(tag)}}, {}});
}

Result<std::optional<std::string>> ObjectClient::get(std::string_view name)
{
    TRY_ASSIGN(response, getResource(m_client, "/objects/" + encodePathSegment(name)));
    if (!isFound(response))
        return std::optional<std::string>();
    return std::optional(std::move(response.body));
}

Result<> ObjectClient::put(std::string_view name, std::string_view content)
{
    const PlatformRequest request{"PUT", "/objects/" + encodePathSegment(name), {}, content};
    const auto result = m_client.call(request);
    const auto *response = std::get_if<CompleteResponse>(&result);
    if (response && response->head.status < 300)
        return success();
    return makeError(ProcessError::StoreUnavailable, std::string(name));
}

} // namespace Sapphireladder
