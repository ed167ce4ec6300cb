#include "Core/Encoding/CoreEncoding.h"
#include "Process/Http/ProcessHttp.h"

#include <nlohmann/json.hpp>

namespace Sapphireladder {

namespace {

using nlohmann::json;

json toJson(const RecordedResponse &response)
{
    json object = {{"status", response.status}, {"content_type", response.contentType}};
    if (response.body)
        object["body"] = encodeBase64(*response.body);
    return object;
}

Result<RecordedResponse> responseFromJson(const json &object)
{
    RecordedResponse response;
    response.status = object.at("status").get<unsigned>();
    response.contentType = object.at("content_type").get<std::string>();
    if (object.contains("body")) {
        auto body = decodeBase64(object.at("body").get<std::string>());
        if (!body)
            return makeError(ProcessError::StoreResponseInvalid,
                             "claim row: body is not valid base64");
        response.body = std::move(body.value());
    }
    return response;
}

Result<Claim> claimFromJson(const json &object)
{
    Claim claim;
    claim.id = ClaimId(object.at("claim").get<std::string>());
    claim.fingerprint = ContentDigest(object.at("fingerprint").get<std::string>());
    claim.vm = VmId(object.at("vm").get<std::string>());
    if (object.contains("answer")) {
        TRY_ASSIGN(response, responseFromJson(object.at("answer")));
        claim.response = std::move(response);
    }
    return claim;
}

} // namespace

std::string encodeClaim(const Claim &claim)
{
    json object = {{"claim", claim.id.string()},
                   {"fingerprint", claim.fingerprint.string()},
                   {"vm", claim.vm.string()}};
    if (claim.response)
        object["answer"] = toJson(*claim.response);
    // The content type comes from a target and may hold invalid UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Claim> decodeClaim(std::string_view text)
{
    try {
        return claimFromJson(json::parse(text));
    } catch (const json::exception &) {
        return makeError(ProcessError::StoreResponseInvalid,
                         "claim row: invalid JSON or field missing");
    }
}

} // namespace Sapphireladder
