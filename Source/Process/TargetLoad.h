#pragma once

#include "Request/Request.h"

#include <atomic>

namespace Sapphireladder {

/**
 * What this VM knows of the load of one target in one of its lives. Shared by all threads, and kept
 * across versions.
 */
class TargetLoad
{
public:
    /** Counts a request sent to the target. */
    void begin();
    /**
     * Counts the end of a request. A rejection or a fault counts as a report of a full target, so
     * that a target that fails at once does not look idle.
     * @param result how it ended
     * @param slots slots of the target
     * @param now time of the end
     */
    void end(const AttemptResult &result, unsigned slots, TimePoint now);

    /** Takes back a begin() whose request was not sent. */
    void cancel();

    unsigned ownInFlight() const { return m_ownInFlight.load(std::memory_order_relaxed); }
    /** @return moving average of the time to an answer, or zero before the first answer. */
    Duration serviceTime() const { return Duration(m_serviceTime.load(std::memory_order_relaxed)); }
    /** @return whether an answer said that the target is leaving. Never undone for this object. */
    bool isDraining() const { return m_draining.load(std::memory_order_relaxed); }
    /** Fills in the parts of a candidate that come from load. */
    void describe(TargetCandidate &candidate, TimePoint now) const;

private:
    static constexpr std::int64_t noReport = -1;

    void recordReport(unsigned inFlight, TimePoint now);
    void recordLatency(const AttemptResult &result);

    std::atomic<unsigned> m_ownInFlight{0};
    std::atomic<int> m_ownSinceReport{0};
    std::atomic<unsigned> m_reportedInFlight{0};
    std::atomic<std::int64_t> m_reportedAt{noReport};
    /** Moving average in nanoseconds. */
    std::atomic<std::int64_t> m_serviceTime{0};
    std::atomic<bool> m_draining{false};
};

} // namespace Sapphireladder
