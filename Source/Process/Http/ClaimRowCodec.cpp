#include "Process/Http/ProcessHttp.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/Exception.h>
#include <Poco/StreamCopier.h>

#include <nlohmann/json.hpp>

#include <sstream>

namespace Sapphireladder {

namespace {

using nlohmann::json;

std::string encodeBase64(const std::string &bytes)
{
    std::ostringstream out;
    Poco::Base64Encoder encoder(out);
    encoder.rdbuf()->setLineLength(0);
    encoder << bytes;
    encoder.close();
    return out.str();
}

std::string decodeBase64(const std::string &text)
{
    std::istringstream in(text);
    Poco::Base64Decoder decoder(in);
    std::string bytes;
    Poco::StreamCopier::copyToString(decoder, bytes);
    if (decoder.bad())
        throw Poco::DataFormatException("base64");
    return bytes;
}

json toJson(const RecordedAnswer &answer)
{
    json object = {{"status", answer.status}, {"content_type", answer.contentType}};
    if (answer.body)
        object["body"] = encodeBase64(*answer.body);
    return object;
}

RecordedAnswer answerFromJson(const json &object)
{
    RecordedAnswer answer;
    answer.status = object.at("status").get<unsigned>();
    answer.contentType = object.at("content_type").get<std::string>();
    if (object.contains("body"))
        answer.body = decodeBase64(object.at("body").get<std::string>());
    return answer;
}

Claim claimFromJson(const json &object)
{
    Claim claim;
    claim.id = ClaimId(object.at("claim").get<std::string>());
    claim.fingerprint = ContentDigest(object.at("fingerprint").get<std::string>());
    claim.vm = VmId(object.at("vm").get<std::string>());
    if (object.contains("answer"))
        claim.answer = answerFromJson(object.at("answer"));
    return claim;
}

} // namespace

std::string encodeClaim(const Claim &claim)
{
    json object = {{"claim", claim.id.string()},
                   {"fingerprint", claim.fingerprint.string()},
                   {"vm", claim.vm.string()}};
    if (claim.answer)
        object["answer"] = toJson(*claim.answer);
    // A content type comes from a target and may hold bytes that are not UTF-8.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Claim> decodeClaim(std::string_view text)
{
    try {
        return claimFromJson(json::parse(text));
    } catch (const json::exception &) {
        return makeError(ProcessError::StoreAnswerInvalid, "claim row");
    } catch (const Poco::Exception &) {
        return makeError(ProcessError::StoreAnswerInvalid, "body in a claim row");
    }
}

} // namespace Sapphireladder
