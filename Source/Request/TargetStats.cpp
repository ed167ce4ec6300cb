#include "Request/Request.h"

#include <algorithm>
#include <cmath>

namespace Sapphireladder {

namespace {

/** Weight of a shed request; below 1, since the target is overloaded rather than broken. */
constexpr double shedFailureWeight = 0.5;

/** @return slowdown of a target with this number of requests. */
double utilizationSlowdown(unsigned load, unsigned slots)
{
    return load > slots * TargetStats::highUtilization ? TargetStats::highUtilizationSlowdown : 1.0;
}

} // namespace

void TargetStats::requestEnded(HealthSignal healthSignal, TimePoint now)
{
    if (m_inFlight > 0)
        --m_inFlight;
    ++m_endedSinceReport;
    if (healthSignal == HealthSignal::Failed)
        addFailure(1.0, now);
    else if (healthSignal == HealthSignal::Shed)
        addFailure(shedFailureWeight, now);
    else if (healthSignal == HealthSignal::Served)
        m_failures /= 2;
}

void TargetStats::loadReported(const LoadReport &load, bool isHealthy, TimePoint now)
{
    m_report = load;
    m_isHealthy = isHealthy;
    m_reportAt = now;
    m_sentSinceReport = 0;
    m_endedSinceReport = 0;
}

void TargetStats::probeFailed(TimePoint now)
{
    addFailure(1.0, now);
    m_reportAt.reset();
}

double TargetStats::cost(TimePoint now) const
{
    const auto load = expectedLoad(now) + 1;
    const double slots = std::max(1U, m_slots);
    double cost = m_reportAt ? m_report.slowdown : assumedSlowdown;
    cost *= utilizationSlowdown(load, m_slots);
    cost *= 1.0 + std::max(0.0, load - slots) / slots;
    if (now < m_warmupEnd)
        cost *= warmupSlowdown;
    if (!m_isHealthy)
        cost *= unhealthyCostFactor;
    return cost * (1.0 + failureCostWeight * recentFailures(now));
}

unsigned TargetStats::expectedLoad(TimePoint now) const
{
    if (!m_reportAt)
        return m_inFlight;
    if (now - *m_reportAt > reportMaxAge)
        return m_inFlight;
    const unsigned load = m_report.inFlight + m_report.waiting + m_sentSinceReport;
    const unsigned left = load > m_endedSinceReport ? load - m_endedSinceReport : 0;
    return std::max(left, m_inFlight);
}

double TargetStats::recentFailures(TimePoint now) const
{
    return m_failures * std::exp2(-toSeconds(now - m_failuresAt) / toSeconds(failureHalfLife));
}

void TargetStats::addFailure(double weight, TimePoint now)
{
    m_failures = recentFailures(now) + weight;
    m_failuresAt = now;
}

} // namespace Sapphireladder
