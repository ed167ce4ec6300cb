#pragma once

#include "Request/AttemptResult.h"
#include "Request/Claim.h"
#include "Request/RequestInfo.h"
#include "Request/TargetLease.h"

#include <span>
#include <string_view>
#include <variant>

namespace Sapphireladder {

/** What one attempt sends. The views are valid during the attempt. */
struct AttemptRequest
{
    const RequestInfo &info;
    const TargetSpec &target;
    const ServicePolicy &policy;
    std::span<const HeaderField> headers;
    std::string_view body;
    /** 0 for the first attempt of this hop. */
    unsigned attempt = 0;
};

/** Hands out slots of one service's targets. Implementations are safe for use by several threads.
 */
class TargetGate
{
public:
    virtual ~TargetGate() = default;

    /**
     * Waits for a slot, at most until the request's deadline.
     * @param info the request
     * @param tried targets that already failed this request; avoided where others are usable
     * @return the slot, or why there is none.
     */
    virtual std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &info,
                                                             std::span<const TargetId> tried) = 0;

    /**
     * Gives a slot back and learns from the attempt.
     * @param lease a slot from acquire()
     * @param result how the attempt ended
     */
    virtual void release(const TargetLease &lease, const AttemptResult &result) = 0;

    /** Gives a slot back that no attempt used. @param lease a slot from acquire() */
    virtual void cancel(const TargetLease &lease) = 0;
};

/** Sends one attempt to a target and waits for its end. */
class AttemptTransport
{
public:
    virtual ~AttemptTransport() = default;
    virtual AttemptResult attempt(const AttemptRequest &request) = 0;
};

/** Grants retries of one service. */
class RetryTokens
{
public:
    virtual ~RetryTokens() = default;
    /** Counts a first attempt, which earns a share of a retry. */
    virtual void recordFirstAttempt() = 0;
    /** @return whether a retry may start; if so it is paid for. */
    virtual bool takeRetry() = 0;
};

/** Keeps claims. Calls block; implementations are safe for use by several threads. */
class ClaimStore
{
public:
    virtual ~ClaimStore() = default;
    /** Writes a claim on condition that its row does not exist. Must not repeat the write. */
    virtual ClaimWrite insert(const ClaimKey &key, const Claim &claim) = 0;
    virtual ClaimRead read(const ClaimKey &key) = 0;
    /** Writes a claim with its answer on condition that the row has the tag. */
    virtual ClaimWrite record(const ClaimKey &key, const Claim &claim, std::string_view tag) = 0;
    /** Deletes a claim's row on condition that it has the tag. */
    virtual ClaimWrite release(const ClaimKey &key, std::string_view tag) = 0;
};

/** What making a claim needs. All outlive the request. */
struct ClaimPorts
{
    ClaimStore &store;
    /** Source of claim ids, used by the request's thread only. */
    RandomSource &random;
    const VmId &vm;
};

/** Counts what happens to requests. */
class RequestObserver
{
public:
    virtual ~RequestObserver() = default;
    virtual void retried(RetryReason reason) = 0;
    virtual void retryDenied(RetryDenial denial) = 0;
};

} // namespace Sapphireladder
