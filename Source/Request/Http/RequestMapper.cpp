#include "Request/Http/RequestHttp.h"

#include <Poco/String.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPMessage;
using Poco::Net::HTTPRequest;

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::string_view names[] = {"GET", "HEAD",   "OPTIONS",
                                                 "PUT", "DELETE", "TRACE"};
    return std::find(std::begin(names), std::end(names), method) != std::end(names);
}

bool isIdempotent(const HTTPRequest &message, const ServicePolicy &policy)
{
    if (message.get(nonIdempotentHeader, "") == "true")
        return false;
    for (const auto &it : policy.idempotencyRules) {
        const bool isMethodMatch = it.method == "*" || it.method == message.getMethod();
        if (isMethodMatch && message.getURI().starts_with(it.pathPrefix))
            return it.idempotent;
    }
    return isIdempotentMethod(message.getMethod());
}

/** @return whether the request target is in origin form. The other forms are not supported. */
bool hasOriginFormTarget(const HTTPRequest &message)
{
    return message.getURI().starts_with('/') && message.getMethod() != HTTPRequest::HTTP_CONNECT;
}

/** A header that determines how a request is handled, with its valid values. */
struct HeaderRule
{
    const std::string &name;
    std::size_t maxLength;
    /** Empty if any visible characters are valid. */
    std::array<std::string_view, 2> values;
};

bool hasValidValue(const HeaderRule &rule, std::string_view value)
{
    if (value.empty() || value.size() > rule.maxLength)
        return false;
    if (!rule.values[0].empty())
        return std::find(rule.values.begin(), rule.values.end(), value) != rule.values.end();
    return std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

/**
 * Validates the headers that determine how a request is handled. Invalid values and repeated
 * headers are refused: if ignored, a non-idempotent request could run twice.
 */
bool hasValidHeaders(const HTTPRequest &message)
{
    constexpr std::size_t maxValueLength = 256;
    static const HeaderRule rules[] = {
            {HTTPRequest::HOST, maxValueLength, {}},
            {requestIdHeader, maxValueLength, {}},
            {idempotencyKeyHeader, maxValueLength, {}},
            {timeoutHeader, maxValueLength, {}},
            {attemptHeader, maxValueLength, {}},
            {depthHeader, maxValueLength, {}},
            {classHeader, maxValueLength, {"urgent", "deferrable"}},
            {nonIdempotentHeader, maxValueLength, {"true", "false"}},
    };
    return std::all_of(std::begin(rules), std::end(rules), [&](const HeaderRule &rule) {
        const auto first = message.find(rule.name);
        if (first == message.end())
            return true;
        const auto count = std::count_if(message.begin(), message.end(), [&](const auto &it) {
            return Poco::icompare(it.first, rule.name) == 0;
        });
        return count == 1 && hasValidValue(rule, first->second);
    });
}

/** Reads an optional header with an unsigned integer. @return false if the value is invalid. */
bool readUnsigned(const HTTPRequest &message, const std::string &name, std::uint64_t &n)
{
    if (!message.has(name))
        return true;
    const auto parsed = parseUnsigned(message.get(name));
    if (!parsed)
        return false;
    n = parsed.value();
    return true;
}

std::vector<HeaderField> endToEndHeaders(const HTTPRequest &message)
{
    std::vector<HeaderField> headers;
    for (const auto &[name, value] : message) {
        const bool isForwarded = !isHopByHopHeader(name) && Poco::icompare(name, "Expect") != 0
                                 && !hasToken(message, HTTPMessage::CONNECTION, name);
        if (isForwarded)
            headers.push_back({name, value});
    }
    return headers;
}

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

std::variant<MappedRequest, RefusalReason> mapRequest(const HTTPRequest &message,
                                                      const PresetSnapshot &snapshot, TimePoint now,
                                                      RandomSource &random)
{
    if (!framingOf(message))
        return RefusalReason::BadFraming;
    if (!hasOriginFormTarget(message) || !hasValidHeaders(message))
        return RefusalReason::BadRequest;
    MappedRequest mapped;
    const std::string host = message.get(HTTPRequest::HOST, "");
    mapped.policy = snapshot.findService(hostWithoutPort(host));
    if (!mapped.policy)
        return RefusalReason::UnknownService;
    auto &info = mapped.info;
    const auto &deadline = mapped.policy->deadline;
    auto timeoutMs = static_cast<std::uint64_t>(toMilliseconds(deadline.defaultTimeout));
    std::uint64_t priorAttempts = 0;
    std::uint64_t depth = 0;
    if (!readUnsigned(message, timeoutHeader, timeoutMs)
        || !readUnsigned(message, attemptHeader, priorAttempts)
        || !readUnsigned(message, depthHeader, depth))
        return RefusalReason::BadRequest;
    if (timeoutMs == 0)
        return RefusalReason::DeadlineExpired;
    if (depth >= maxDepth)
        return RefusalReason::DepthExceeded;
    const auto maxTimeoutMs = static_cast<std::uint64_t>(toMilliseconds(deadline.maxTimeout));
    info.deadline = now + std::chrono::milliseconds(std::min(timeoutMs, maxTimeoutMs));
    info.priorAttempts = static_cast<unsigned>(std::min<std::uint64_t>(priorAttempts, maxDepth));
    info.depth = static_cast<unsigned>(depth);
    if (message.get(classHeader, "") == "deferrable")
        info.requestClass = RequestClass::Deferrable;
    info.service = mapped.policy->name;
    info.method = message.getMethod();
    info.path = message.getURI();
    info.idempotent = isIdempotent(message, *mapped.policy);
    info.id = RequestId(message.has(requestIdHeader) ? message.get(requestIdHeader)
                                                     : random.hexDigits());
    if (message.has(idempotencyKeyHeader)) {
        info.key = IdempotencyKey(message.get(idempotencyKeyHeader));
        // All callers that send an empty key would share it.
        if (info.key->isEmpty() || info.key->view().size() > maxKeySize)
            return RefusalReason::BadRequest;
    }
    mapped.headers = endToEndHeaders(message);
    return mapped;
}

ContentDigest fingerprintOf(const RequestInfo &info, std::string_view body)
{
    std::string text(info.method);
    text.append("\n").append(info.path).append("\n").append(body);
    return digestOf(text);
}

} // namespace Sapphireladder
