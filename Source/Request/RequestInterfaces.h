#pragma once

#include "Request/AttemptResult.h"
#include "Request/Claim.h"
#include "Request/RequestInfo.h"
#include "Request/TargetLease.h"

#include <span>
#include <string_view>
#include <variant>

namespace Sapphireladder {

/** Content of one attempt. The views are valid during the attempt. */
struct AttemptRequest
{
    const RequestInfo &info;
    const TargetSpec &target;
    const ServicePolicy &policy;
    std::span<const HeaderField> headers;
    std::string_view body;
    /** 0 for the first attempt of this hop. */
    unsigned attemptIndex = 0;
};

/** Allocates slots of one service's targets. Implementations are thread-safe. */
class TargetSlotAllocator
{
public:
    virtual ~TargetSlotAllocator() = default;

    /**
     * Waits for a slot, at most until the request's deadline.
     * @param info the request
     * @param tried targets that already failed this request; used only if no other is usable
     * @return the slot, or why there is none.
     */
    virtual std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &info,
                                                             std::span<const TargetId> tried) = 0;

    /**
     * Releases a slot and updates the state of the target from the result of the attempt.
     * @param lease a slot from acquire()
     * @param result result of the attempt
     */
    virtual void release(const TargetLease &lease, const AttemptResult &result) = 0;

    /** Releases a slot that no attempt used. @param lease a slot from acquire() */
    virtual void cancel(const TargetLease &lease) = 0;
};

/** Sends one attempt to a target and blocks until its result is known. */
class AttemptTransport
{
public:
    virtual ~AttemptTransport() = default;
    virtual AttemptResult attempt(const AttemptRequest &request) = 0;
};

/** Retry budget of one service. */
class RetryTokens
{
public:
    virtual ~RetryTokens() = default;
    /** Counts a first attempt, which adds a fraction of a retry to the budget. */
    virtual void recordFirstAttempt() = 0;
    /** Consumes one retry. @return whether the budget allowed it. */
    virtual bool takeRetry() = 0;
};

/** Stores claims. Calls block; implementations are thread-safe. */
class ClaimStore
{
public:
    virtual ~ClaimStore() = default;
    /** Writes a claim on condition that its row does not exist. Must not retry the write. */
    virtual ClaimWriteResult insert(const ClaimKey &key, const Claim &claim) = 0;
    virtual ClaimReadResult read(const ClaimKey &key) = 0;
    /** Writes a claim with its response on condition that the row has the tag. */
    virtual ClaimWriteResult record(const ClaimKey &key, const Claim &claim,
                                    std::string_view tag) = 0;
    /** Deletes a claim's row on condition that it has the tag. */
    virtual ClaimWriteResult release(const ClaimKey &key, std::string_view tag) = 0;
};

/** Dependencies of a RequestClaim. All outlive the request. */
struct ClaimDependencies
{
    ClaimStore &store;
    /** Generates claim ids; used by the request's thread only. */
    RandomSource &random;
    const VmId &vm;
};

/** Receives the events of requests that are counted in metrics. */
class RequestObserver
{
public:
    virtual ~RequestObserver() = default;
    virtual void retried(RetryReason reason) = 0;
    virtual void retryDenied(RetryDenial denial) = 0;
    /** A hedge was sent. */
    virtual void hedged() = 0;
    /** The response of a hedge was the first. */
    virtual void hedgeWon() = 0;
    virtual void hedgeDenied(HedgeDenial denial) = 0;
};

} // namespace Sapphireladder
