#pragma once

#include "Version/Version.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/** Whether a request may wait behind others. */
enum class RequestClass {
    Urgent,
    Deferrable,
};

/** Largest number of hops in a chain of calls. The stated target is 21. */
constexpr unsigned maxDepth = 32;

/** What decisions need to know of a caller's request. The views are valid during the request. */
struct RequestInfo
{
    RequestId id;
    ServiceName service;
    std::string_view method;
    /** Path and query. */
    std::string_view path;
    RequestClass requestClass = RequestClass::Urgent;
    bool idempotent = true;
    std::optional<IdempotencyKey> key;
    /** Digest of method, path and body; tells two requests with one key apart. */
    ContentDigest fingerprint;
    TimePoint deadline;
    /** 0 if no hop before this one repeats the request. */
    unsigned attemptMark = 0;
    /** Hops of the chain before this one. */
    unsigned depth = 0;
};

} // namespace Sapphireladder
