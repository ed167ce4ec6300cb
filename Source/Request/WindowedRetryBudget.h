#pragma once

#include "Request/RequestInterfaces.h"

#include <array>

namespace Sapphireladder {

/** Limit on a service's retries, over all VMs together. */
struct RetryBudgetPolicy
{
    /** Retries allowed per request. */
    double ratio = 0.2;
    /** Sliding window in which requests and retries are counted. */
    Duration window = std::chrono::seconds(10);
    /** Retries allowed in a window in addition to the ratio, shared by all VMs. */
    double slack = 20;
    /** Upper estimate of the number of VMs that share the slack. */
    unsigned fleetSize = 1;
};

/**
 * This VM's share of the retry limit of one service, enforced in a sliding window. The shares need
 * no coordination: the ratio counts the VM's own requests only, and the slack is divided by an
 * upper estimate of the fleet size. Used by one thread.
 */
class WindowedRetryBudget final : public RetryTokens
{
public:
    /** Share of the limit that is used. The rest is a margin for observers that count the same
     * requests later than this VM. */
    static constexpr double usableShare = 0.9;

    /** @param clock outlives the object */
    WindowedRetryBudget(const RetryBudgetPolicy &policy, const Clock &clock);

    void setPolicy(const RetryBudgetPolicy &policy) { m_policy = policy; }
    void recordFirstAttempt() override;
    bool takeRetry() override;
    /** @return retries that are allowed now. */
    double availableRetries() const;
    /** @return whether a retry now leaves this share of the limit unused. */
    bool hasSpareRetry(double reservedShare) const;

private:
    /** Buckets of the window. Retries are counted over one bucket more than requests, so that the
     * limit holds in any window. */
    static constexpr std::size_t windowBucketCount = 20;
    static constexpr std::size_t bucketCount = windowBucketCount + 1;

    struct Bucket
    {
        std::int64_t index = -1;
        unsigned requests = 0;
        unsigned retries = 0;
    };

    struct Usage
    {
        /** Retries allowed in the window. */
        double limit = 0;
        /** Retries made in the window. */
        double retries = 0;
    };

    Usage usage() const;
    std::int64_t currentBucketIndex() const;
    Bucket &currentBucket();

    RetryBudgetPolicy m_policy;
    const Clock &m_clock;
    std::array<Bucket, bucketCount> m_buckets{};
};

} // namespace Sapphireladder
