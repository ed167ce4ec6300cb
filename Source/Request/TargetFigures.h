#pragma once

#include "Request/AttemptResult.h"

#include <optional>

namespace Sapphireladder {

/** How an attempt at a target ended, as far as it speaks of the target. */
enum class AttemptVerdict : std::uint8_t {
    Served,
    /** The target refused without running the request. */
    Shed,
    /** The target failed, fell silent or could not be reached. */
    Failed,
    /** The attempt was given up for a reason that says nothing of the target. */
    Abandoned,
};

/**
 * What this VM knows of one target's load and health. Costs are multiples of the time that work
 * takes on an idle target that nothing slows. Used by one thread.
 */
class TargetFigures
{
public:
    /** Slowdown assumed of a target whose own figure is missing. */
    static constexpr double assumedSlowdown = 1.5;
    /** Age from which a reported load says nothing any more: all that work has ended. */
    static constexpr Duration reportLife = std::chrono::seconds(5);
    /** Share of busy slots above which targets slow down. */
    static constexpr double nearFullShare = 0.8;
    /** How much longer work takes on a target that is nearly full. */
    static constexpr double nearFullSlowdown = 1.7;
    /** How much longer work takes on a target that has just started. */
    static constexpr double warmupSlowdown = 2.0;
    /** Cost factor of a target that calls itself unhealthy. It may be wrong, so that it is used
     * last. */
    static constexpr double unhealthyFactor = 2.0;
    /** Time in which the memory of failures halves. */
    static constexpr Duration failureHalfLife = std::chrono::seconds(2);
    /** Added to the cost factor for each remembered failure. */
    static constexpr double failureWeight = 1.5;

    /** @param slots requests that the target works on at once */
    explicit TargetFigures(unsigned slots)
        : m_slots(slots)
    {}

    void setSlots(unsigned slots) { m_slots = slots; }
    void setWarmUntil(TimePoint time) { m_warmUntil = time; }

    /** A request was sent. */
    void sent() { ++m_inFlight, ++m_sentSinceReport; }
    /** A request that was sent ended. */
    void ended(AttemptVerdict verdict, TimePoint now);
    /** The target told its load, and whether it calls itself healthy. */
    void reported(const LoadReport &load, bool isHealthy, TimePoint now);
    /** The target did not answer a question for its load. */
    void probeFailed(TimePoint now);

    bool isFresh(TimePoint now, Duration limit) const
    {
        return m_reportAt && now - *m_reportAt <= limit;
    }
    /** @return the time that a request sent now is expected to take, as a multiple. */
    double cost(TimePoint now) const;
    /** @return requests expected at the target, in work and waiting. */
    unsigned expectedLoad(TimePoint now) const;
    double failures(TimePoint now) const;
    unsigned slots() const { return m_slots; }
    unsigned inFlight() const { return m_inFlight; }
    const LoadReport &report() const { return m_report; }
    std::optional<TimePoint> reportAt() const { return m_reportAt; }

private:
    void addFailure(double weight, TimePoint now);

    unsigned m_slots;
    LoadReport m_report;
    std::optional<TimePoint> m_reportAt;
    unsigned m_inFlight = 0;
    unsigned m_sentSinceReport = 0;
    unsigned m_endedSinceReport = 0;
    double m_failures = 0;
    TimePoint m_failuresAt{};
    TimePoint m_warmUntil{};
    bool m_isHealthy = true;
};

} // namespace Sapphireladder
