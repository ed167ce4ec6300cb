#pragma once

#include "Request/Http/HeadParser.h"
#include "Request/Request.h"

#include <variant>
#include <vector>

namespace Sapphireladder {

/** The head of a caller's request, decoded for the decision code. */
struct MappedRequest
{
    RequestInfo info;
    const ServicePolicy *policy = nullptr;
    /** End-to-end headers, which are forwarded. */
    std::vector<HeaderField> headers;
};

/** Largest head of a message in bytes. */
constexpr std::size_t maxHeadSize = 16384;

/** Largest idempotency key in bytes. It is part of the row key in the table service. */
constexpr std::size_t maxKeySize = 256;

/**
 * Decodes the head of a caller's request.
 * @param head head of the request; the result's views point into it
 * @param snapshot preset that defines the services
 * @param now time of arrival
 * @param random generates the request id if the caller sent none
 * @return the request without fingerprint, or why it is refused.
 */
std::variant<MappedRequest, RefusalReason> mapRequest(const RequestHead &head,
                                                      const PresetSnapshot &snapshot, TimePoint now,
                                                      RandomSource &random);

/**
 * Computes the digest that detects an idempotency key reused for another request.
 * @return digest of method, path and body.
 */
ContentDigest fingerprintOf(const RequestInfo &info, std::string_view body);

} // namespace Sapphireladder
