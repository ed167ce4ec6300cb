#include "Request/Http/RequestHttp.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace Sapphireladder {

namespace {

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::string_view names[] = {"GET", "HEAD",   "OPTIONS",
                                                 "PUT", "DELETE", "TRACE"};
    return std::find(std::begin(names), std::end(names), method) != std::end(names);
}

bool isIdempotent(const RequestHead &head, const ServicePolicy &policy)
{
    if (fieldValue(head.fields, nonIdempotentHeader) == "true")
        return false;
    for (const auto &it : policy.idempotencyRules) {
        const bool isMethodMatch = it.method == "*" || it.method == head.method;
        if (isMethodMatch && head.requestTarget.starts_with(it.pathPrefix))
            return it.idempotent;
    }
    return isIdempotentMethod(head.method);
}

/** @return whether the request target is in origin form. The other forms are not supported. */
bool hasOriginFormTarget(const RequestHead &head)
{
    return head.requestTarget.starts_with('/') && head.method != "CONNECT";
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
bool hasValidHeaders(const RequestHead &head)
{
    constexpr std::size_t maxValueLength = 256;
    static const HeaderRule rules[] = {
            {hostHeader, maxValueLength, {}},
            {requestIdHeader, maxValueLength, {}},
            {idempotencyKeyHeader, maxValueLength, {}},
            {timeoutHeader, maxValueLength, {}},
            {attemptHeader, maxValueLength, {}},
            {depthHeader, maxValueLength, {}},
            {classHeader, maxValueLength, {"urgent", "deferrable"}},
            {nonIdempotentHeader, maxValueLength, {"true", "false"}},
    };
    return std::all_of(std::begin(rules), std::end(rules), [&](const HeaderRule &rule) {
        const auto *first = findField(head.fields, rule.name);
        if (!first)
            return true;
        const auto count = std::count_if(
                head.fields.begin(), head.fields.end(),
                [&](const auto &it) { return equalsIgnoringCase(it.name, rule.name); });
        return count == 1 && hasValidValue(rule, *first);
    });
}

/** Reads an optional header with an unsigned integer. @return false if the value is invalid. */
bool readUnsigned(const RequestHead &head, const std::string &name, std::uint64_t &n)
{
    const auto *value = findField(head.fields, name);
    if (!value)
        return true;
    const auto parsed = parseUnsigned(*value);
    if (!parsed)
        return false;
    n = parsed.value();
    return true;
}

std::vector<HeaderField> endToEndHeaders(const RequestHead &head)
{
    const ConnectionOptions options(head);
    std::vector<HeaderField> headers;
    for (const auto &it : head.fields) {
        const bool isForwarded = !isHopByHopHeader(it.name)
                                 && !equalsIgnoringCase(it.name, "Expect")
                                 && !options.contains(it.name);
        if (isForwarded)
            headers.push_back(it);
    }
    return headers;
}

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

std::variant<MappedRequest, RefusalReason> mapRequest(const RequestHead &head,
                                                      const PresetSnapshot &snapshot, TimePoint now,
                                                      RandomSource &random)
{
    if (!head.framing)
        return RefusalReason::BadFraming;
    if (!hasOriginFormTarget(head) || !hasValidHeaders(head))
        return RefusalReason::BadRequest;
    MappedRequest mapped;
    mapped.policy = snapshot.findService(hostWithoutPort(fieldValue(head.fields, hostHeader)));
    if (!mapped.policy)
        return RefusalReason::UnknownService;
    auto &info = mapped.info;
    const auto &deadline = mapped.policy->deadline;
    auto timeoutMs = static_cast<std::uint64_t>(toMilliseconds(deadline.defaultTimeout));
    std::uint64_t priorAttempts = 0;
    std::uint64_t depth = 0;
    if (!readUnsigned(head, timeoutHeader, timeoutMs)
        || !readUnsigned(head, attemptHeader, priorAttempts)
        || !readUnsigned(head, depthHeader, depth))
        return RefusalReason::BadRequest;
    if (timeoutMs == 0)
        return RefusalReason::DeadlineExpired;
    if (depth >= maxDepth)
        return RefusalReason::DepthExceeded;
    const auto maxTimeoutMs = static_cast<std::uint64_t>(toMilliseconds(deadline.maxTimeout));
    info.deadline = now + std::chrono::milliseconds(std::min(timeoutMs, maxTimeoutMs));
    info.priorAttempts = static_cast<unsigned>(std::min<std::uint64_t>(priorAttempts, maxDepth));
    info.depth = static_cast<unsigned>(depth);
    if (fieldValue(head.fields, classHeader) == "deferrable")
        info.requestClass = RequestClass::Deferrable;
    info.service = mapped.policy->name;
    info.method = head.method;
    info.path = head.requestTarget;
    info.idempotent = isIdempotent(head, *mapped.policy);
    const auto *id = findField(head.fields, requestIdHeader);
    info.id = RequestId(id ? *id : random.hexDigits());
    if (const auto *key = findField(head.fields, idempotencyKeyHeader)) {
        info.key = IdempotencyKey(*key);
        // All callers that send an empty key would share it.
        if (info.key->isEmpty() || info.key->view().size() > maxKeySize)
            return RefusalReason::BadRequest;
    }
    mapped.headers = endToEndHeaders(head);
    return mapped;
}

ContentDigest fingerprintOf(const RequestInfo &info, std::string_view body)
{
    std::string text(info.method);
    text.append("\n").append(info.path).append("\n").append(body);
    return digestOf(text);
}

} // namespace Sapphireladder
