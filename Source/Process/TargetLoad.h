#pragma once

#include "Request/Request.h"

#include <atomic>

namespace Sapphireladder {

/**
 * Load of one incarnation of a target, as known to this VM. Thread-safe, and kept across preset
 * versions.
 */
class TargetLoad
{
public:
    /** Counts a request sent to the target. */
    void begin();
    /**
     * Counts the end of a request. A rejection or a fault counts as a report of a fully loaded
     * target, so that a target that fails fast does not look idle.
     * @param result outcome of the attempt
     * @param slots slots of the target
     */
    void end(const AttemptResult &result, unsigned slots, TimePoint now);

    /** Undoes a begin() whose request was not sent. */
    void cancel();

    unsigned ownInFlight() const { return m_ownInFlight.load(std::memory_order_relaxed); }
    /** @return moving average of the time to a response, zero before the first one. */
    Duration serviceTime() const { return Duration(m_serviceTime.load(std::memory_order_relaxed)); }
    /** @return whether a response announced that the target is leaving. Never reset. */
    bool isDraining() const { return m_draining.load(std::memory_order_relaxed); }
    /** Fills in the load fields of a candidate. */
    void fillCandidate(TargetCandidate &candidate, TimePoint now) const;

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
