#pragma once

#include "Request/RequestInterfaces.h"

#include <array>

namespace Sapphireladder {

/** Limit on a service's retries, over all VMs together. */
struct RepeatPolicy
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
    /** Share of the limit that is used. The rest covers requests that others count later. */
    static constexpr double usedShare = 0.9;

    /** @param clock outlives the object */
    WindowedRetryBudget(const RepeatPolicy &policy, const Clock &clock);

    void setPolicy(const RepeatPolicy &policy) { m_policy = policy; }
    void recordFirstAttempt() override;
    bool takeRetry() override;
    /** @return retries that are allowed now. */
    double available();

private:
    /** Buckets of the window. Retries are counted over one bucket more than requests, so that the
     * limit holds in any window. */
    static constexpr std::size_t partCount = 20;
    static constexpr std::size_t slotCount = partCount + 1;

    struct Part
    {
        std::int64_t index = -1;
        unsigned requests = 0;
        unsigned repeats = 0;
    };

    std::int64_t currentIndex() const;
    Part &currentPart();

    RepeatPolicy m_policy;
    const Clock &m_clock;
    std::array<Part, slotCount> m_parts{};
};

} // namespace Sapphireladder
