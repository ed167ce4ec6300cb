#pragma once

#include "Request/AttemptResult.h"
#include "Request/HeaderField.h"
#include "Version/Version.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** Values of the header fields of a caller's request. */
struct CallerMetadata
{
    RequestId id;
    /** How long the caller waits for the response after sending the request. */
    std::optional<Duration> timeout;
    /** Digest of the API key that the caller sent. */
    std::optional<KeyDigest> key;
};

/** Values sent to the target in the header fields of an attempt. */
struct AttemptMetadata
{
    /** Time limit for the target. */
    Duration timeLeft{};
    /** Id of the only target that may run the request. */
    std::string_view target;
    /** Name of the caller's workspace; empty if it has none. */
    std::string_view workspace;
};

/** Values of the header fields of a target's response that are not meant for the caller. */
struct ResponseMetadata
{
    /** Id of the request that the response belongs to. */
    std::optional<RequestId> request;
    /** The target that sent the response. */
    std::optional<TargetId> target;
    std::optional<LoadReport> load;
    /** The target states that it did not run the request. */
    bool notRun = false;
    /** The target announces that it is leaving. */
    bool isLeaving = false;
    /** How long the target wants to receive no requests from this VM. */
    std::optional<Duration> retryAfter;
    /** How long the target stays cold, if the response to a health probe states it. */
    std::optional<Duration> warmupLeft;
    /** The response carries the signature of a target. */
    bool isSigned = false;
};

/** Reads and writes the header fields in which callers, VMs and targets exchange metadata. */
class HeaderCodec
{
public:
    virtual ~HeaderCodec() = default;
    virtual CallerMetadata callerMetadata(std::span<const HeaderField> fields) const = 0;
    /**
     * Sets the fields of an attempt, in place of any that the caller sent. Removes the API key and
     * the name of a workspace that the caller sent.
     */
    virtual void setAttemptHeaders(std::vector<HeaderField> &fields,
                                   const AttemptMetadata &metadata) const = 0;
    virtual ResponseMetadata responseMetadata(unsigned status,
                                              std::span<const HeaderField> fields) const = 0;
    /** Removes the fields of a target's response that are not meant for the caller. */
    virtual void removeInternalFields(std::vector<HeaderField> &fields) const = 0;
    /** @return the request id field of a response that does not come from a target. */
    virtual HeaderField requestIdField(const RequestId &id) const = 0;
};

} // namespace Sapphireladder
