#pragma once

#include "Core/Core.h"

#include <cstdint>
#include <memory>

namespace Sapphireladder {

/**
 * Distribution of recent latencies. Two histograms alternate: the older one is cleared and takes
 * the new values as soon as the younger one is complete, so that old values drop out. Used by one
 * thread.
 */
class LatencyWindow
{
public:
    /** Time during which one histogram is filled. */
    static constexpr Duration period = std::chrono::seconds(30);

    LatencyWindow();
    ~LatencyWindow();
    LatencyWindow(LatencyWindow &&other) noexcept;
    LatencyWindow &operator=(LatencyWindow &&other) noexcept;

    void record(Duration latency, TimePoint now);
    /** @return number of values of the last one to two periods. */
    std::uint64_t count(TimePoint now);
    /** @param quantile from 0 to 1 @return upper bound of the bin that contains the quantile; zero
     * without values. */
    Duration quantile(double quantile, TimePoint now);
    /** @return share of the values that are at most about this long; zero without values. */
    double rankOf(Duration latency, TimePoint now);
    /** @return whether no value was recorded in the last two periods. */
    bool isEmpty(TimePoint now) { return count(now) == 0; }

private:
    struct Bins;

    /** Starts a new period if the current one has ended. */
    void advance(TimePoint now);

    std::unique_ptr<Bins> m_bins;
    TimePoint m_periodStart{};
};

} // namespace Sapphireladder
