#pragma once

#include "Request/AttemptResult.h"

#include <optional>

namespace Sapphireladder {

/** What the result of an attempt says about the target's health. */
enum class HealthSignal : std::uint8_t {
    Served,
    /** The target refused without running the request. */
    Shed,
    /** The target failed, stopped responding or could not be reached. */
    Failed,
    /** The attempt was abandoned for a reason unrelated to the target. */
    Abandoned,
};

/**
 * Load and health of one target as seen by this VM. Costs are expected service times as multiples
 * of the service time on an idle target without slowdown. Used by one thread.
 */
class TargetStats
{
public:
    /** Slowdown assumed for a target that has not reported any. */
    static constexpr double assumedSlowdown = 1.5;
    /** Age above which the reported load is ignored: the work that it counted has ended by then.
     * The reported slowdown and health still count. */
    static constexpr Duration reportMaxAge = std::chrono::seconds(5);
    /** Share of busy slots above which targets slow down. */
    static constexpr double highUtilization = 0.8;
    /** Slowdown of a target above highUtilization. */
    static constexpr double highUtilizationSlowdown = 1.7;
    /** Slowdown of a target that has just started. */
    static constexpr double warmupSlowdown = 2.0;
    /** Cost factor of a target that reports itself unhealthy. The report may be wrong, so the
     * target is not excluded. */
    static constexpr double unhealthyCostFactor = 2.0;
    /** Half-life of the weight of past failures. */
    static constexpr Duration failureHalfLife = std::chrono::seconds(2);
    /** Added to the cost factor per recent failure. */
    static constexpr double failureCostWeight = 1.5;

    /** @param slots number of requests that the target runs concurrently */
    explicit TargetStats(unsigned slots)
        : m_slots(slots)
    {}

    void setSlots(unsigned slots) { m_slots = slots; }
    void setWarmupEnd(TimePoint time) { m_warmupEnd = time; }

    /** A request was sent. */
    void requestSent() { ++m_inFlight, ++m_sentSinceReport; }
    /** A request that was sent ended. */
    void requestEnded(HealthSignal healthSignal, TimePoint now);
    /** The target reported its load and health. */
    void loadReported(const LoadReport &load, bool isHealthy, TimePoint now);
    /** The target did not answer a load probe; its last load report is no longer used. */
    void probeFailed(TimePoint now);

    /** @return whether the last load report is at most this old. */
    bool hasReportWithin(TimePoint now, Duration maxAge) const
    {
        return m_reportAt && now - *m_reportAt <= maxAge;
    }
    /** @return expected cost of a request that is sent now. */
    double cost(TimePoint now) const;
    /** @return estimated number of requests at the target, running and queued. */
    unsigned expectedLoad(TimePoint now) const;
    /** @return number of failures, weighted by kind and age; each served request halves it. */
    double recentFailures(TimePoint now) const;
    unsigned slots() const { return m_slots; }
    unsigned inFlight() const { return m_inFlight; }
    /** @return the last load report; a default LoadReport before the first. */
    const LoadReport &report() const { return m_report; }
    /** @return time of the last load report; absent before the first and after a failed probe. */
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
    TimePoint m_warmupEnd{};
    bool m_isHealthy = true;
};

} // namespace Sapphireladder
