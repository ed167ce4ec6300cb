#pragma once

#include "Request/Request.h"

#include <Poco/Net/HTTPRequest.h>

#include <variant>
#include <vector>

namespace Sapphireladder {

/** A caller's request in the terms of the decisions. */
struct MappedRequest
{
    RequestInfo info;
    const ServicePolicy *policy = nullptr;
    /** End-to-end headers to pass on. */
    std::vector<HeaderField> headers;
};

/** Largest head of a message in bytes. */
constexpr std::size_t maxHeadSize = 16384;

/** Largest idempotency key in bytes. A key is part of a row's name in the table service. */
constexpr std::size_t maxKeySize = 256;

/**
 * Reads the head of a caller's request.
 * @param message head of the request; the result's views point into it
 * @param snapshot preset to judge the request by
 * @param now time of arrival
 * @param random source of the request id if the caller gave none
 * @return the request without fingerprint, or why it is refused.
 */
std::variant<MappedRequest, RefusalReason> mapRequest(const Poco::Net::HTTPRequest &message,
                                                      const PresetSnapshot &snapshot, TimePoint now,
                                                      RandomSource &random);

/**
 * Tells two requests with one idempotency key apart.
 * @return digest of method, path and body.
 */
ContentDigest fingerprintOf(const RequestInfo &info, std::string_view body);

} // namespace Sapphireladder
