#include "Request/Http/RequestHttp.h"

#include <Poco/String.h>

#include <algorithm>
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
        const bool methodFits = it.method == "*" || it.method == message.getMethod();
        if (methodFits && message.getURI().starts_with(it.pathPrefix))
            return it.idempotent;
    }
    return isIdempotentMethod(message.getMethod());
}

std::size_t headSize(const HTTPRequest &message)
{
    constexpr std::size_t separators = 4;
    std::size_t n = message.getMethod().size() + message.getURI().size();
    for (const auto &[name, value] : message)
        n += name.size() + value.size() + separators;
    return n;
}

/** Reads a header that holds a whole number. @return false if it is not one. */
bool readNumber(const HTTPRequest &message, const std::string &name, std::uint64_t &n)
{
    if (!message.has(name))
        return true;
    const auto parsed = parseUnsigned(message.get(name));
    if (!parsed)
        return false;
    n = parsed.value();
    return true;
}

bool readClass(const HTTPRequest &message, RequestClass &requestClass)
{
    const std::string text = message.get(classHeader, "urgent");
    if (text != "urgent" && text != "deferrable")
        return false;
    requestClass = text == "urgent" ? RequestClass::Urgent : RequestClass::Deferrable;
    return true;
}

std::vector<HeaderField> endToEndHeaders(const HTTPRequest &message)
{
    std::vector<HeaderField> headers;
    for (const auto &[name, value] : message) {
        if (!isHopByHopHeader(name) && Poco::icompare(name, "Expect") != 0)
            headers.push_back({name, value});
    }
    return headers;
}

std::string_view hostWithoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

bool hasBadFraming(const HTTPMessage &message)
{
    const auto lengths = std::distance(message.find(HTTPMessage::CONTENT_LENGTH), message.end());
    std::size_t lengthCount = 0;
    if (lengths > 0) {
        for (const auto &[name, value] : message) {
            if (Poco::icompare(name, HTTPMessage::CONTENT_LENGTH) != 0)
                continue;
            ++lengthCount;
            if (!parseUnsigned(value))
                return true;
        }
    }
    if (!message.has(HTTPMessage::TRANSFER_ENCODING))
        return lengthCount > 1;
    return lengthCount > 0 || Poco::icompare(message.getTransferEncoding(), "chunked") != 0;
}

std::variant<MappedRequest, RefusalReason> mapRequest(const HTTPRequest &message,
                                                      const PresetSnapshot &snapshot, TimePoint now,
                                                      RandomSource &random)
{
    if (hasBadFraming(message))
        return RefusalReason::BadFraming;
    if (headSize(message) > maxHeadSize)
        return RefusalReason::HeaderTooLarge;
    MappedRequest mapped;
    const std::string host = message.get(HTTPRequest::HOST, "");
    mapped.policy = snapshot.findService(hostWithoutPort(host));
    if (!mapped.policy)
        return RefusalReason::UnknownService;
    auto &info = mapped.info;
    const auto &deadline = mapped.policy->deadline;
    auto timeout = static_cast<std::uint64_t>(toMilliseconds(deadline.standard));
    std::uint64_t attemptMark = 0;
    std::uint64_t depth = 0;
    if (!readNumber(message, timeoutHeader, timeout)
        || !readNumber(message, attemptHeader, attemptMark)
        || !readNumber(message, depthHeader, depth) || !readClass(message, info.requestClass))
        return RefusalReason::BadRequest;
    if (timeout == 0)
        return RefusalReason::DeadlineExpired;
    if (depth >= maxDepth)
        return RefusalReason::DepthExceeded;
    const auto longest = static_cast<std::uint64_t>(toMilliseconds(deadline.maximum));
    info.deadline = now + std::chrono::milliseconds(std::min(timeout, longest));
    info.attemptMark = static_cast<unsigned>(std::min<std::uint64_t>(attemptMark, maxDepth));
    info.depth = static_cast<unsigned>(depth);
    info.service = mapped.policy->name;
    info.method = message.getMethod();
    info.path = message.getURI();
    info.idempotent = isIdempotent(message, *mapped.policy);
    info.id = RequestId(message.has(requestIdHeader) ? message.get(requestIdHeader)
                                                     : random.hexDigits());
    if (message.has(idempotencyKeyHeader)) {
        info.key = IdempotencyKey(message.get(idempotencyKeyHeader));
        // An empty key would be shared by every caller that leaves it empty.
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
