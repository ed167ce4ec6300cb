#pragma once

#include "Request/RequestPorts.h"

#include <array>

namespace Sapphireladder {

/** Bound on a service's repeated attempts, over all VMs together. */
struct RepeatPolicy
{
    /** Repeats allowed for each request. */
    double ratio = 0.2;
    /** Time over which requests and repeats are counted. */
    Duration window = std::chrono::seconds(10);
    /** Repeats allowed in a window besides the ratio, shared by all VMs. */
    double slack = 20;
    /** Upper estimate of the VMs that share the slack. */
    unsigned fleetSize = 1;
};

/**
 * Keeps this VM's share of the bound on repeated attempts of one service, in any window. The shares
 * need no agreement: the ratio counts the VM's own requests only, and the slack is divided by an
 * upper estimate of the fleet. Used by one thread.
 */
class WindowedRetryBudget final : public RetryTokens
{
public:
    /** Share of the bound that is used. The rest covers requests that other parties count late. */
    static constexpr double usedShare = 0.9;

    /** @param clock outlives the object */
    WindowedRetryBudget(const RepeatPolicy &policy, const Clock &clock);

    void setPolicy(const RepeatPolicy &policy) { m_policy = policy; }
    void recordFirstAttempt() override;
    bool takeRetry() override;
    /** @return repeats that could be taken now. */
    double available();

private:
    /** Parts of a window. Repeats are counted for one part more than requests, never less. */
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
