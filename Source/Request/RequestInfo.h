#pragma once

#include "Version/Version.h"

#include <optional>
#include <string_view>

namespace Sapphireladder {

/** Admission class: a deferrable request may wait behind urgent ones. */
enum class RequestClass {
    Urgent,
    Deferrable,
};

/** Largest number of hops in a chain of calls. At least 21 hops have to be supported. */
constexpr unsigned maxDepth = 32;

/** A caller's request as the decision code sees it. The views are valid during the request. */
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
    /** Digest of method, path and body, to detect an idempotency key reused for another request. */
    ContentDigest fingerprint;
    TimePoint deadline;
    /** Attempts made at earlier hops; if not 0, an earlier hop is already retrying the request. */
    unsigned priorAttempts = 0;
    /** Hops of the chain before this one. */
    unsigned depth = 0;
};

} // namespace Sapphireladder
