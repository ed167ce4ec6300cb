#pragma once

#include "Request/Request.h"

#include <atomic>

namespace Sapphireladder {

/** What this VM knows of one target's load. Shared by all threads, and kept across versions. */
class TargetLoad
{
public:
    /** Counts a request sent to the target. */
    void begin();
    /**
     * Counts the end of a request.
     * @param result how it ended
     * @param now time of the end
     */
    void end(const AttemptResult &result, TimePoint now);

    /** Takes back a begin() whose request was not sent. */
    void cancel();

    unsigned ownInFlight() const { return m_ownInFlight.load(std::memory_order_relaxed); }
    /** Fills in the parts of a candidate that come from load. */
    void describe(TargetCandidate &candidate, TimePoint now) const;

private:
    static constexpr std::int64_t noReport = -1;

    std::atomic<unsigned> m_ownInFlight{0};
    std::atomic<int> m_ownSinceReport{0};
    std::atomic<unsigned> m_reportedInFlight{0};
    std::atomic<std::int64_t> m_reportedAt{noReport};
    /** Moving average in nanoseconds. */
    std::atomic<std::int64_t> m_serviceTime{0};
};

} // namespace Sapphireladder
