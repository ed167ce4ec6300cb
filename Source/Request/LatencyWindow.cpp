#include "Request/Request.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <utility>

namespace Sapphireladder {

namespace {

constexpr double minLatencyMs = 1.0;
constexpr double maxLatencyMs = 1e5;
/** Bins from 1 ms to 100 s, each 9.4 % wider than the previous one. */
constexpr unsigned binCount = 128;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram = boost::histogram::histogram<std::tuple<Axis>,
                                              boost::histogram::dense_storage<std::uint32_t>>;

Histogram makeHistogram()
{
    return boost::histogram::make_histogram_with(boost::histogram::dense_storage<std::uint32_t>(),
                                                 Axis(binCount, minLatencyMs, maxLatencyMs));
}

double toBinValue(Duration latency)
{
    const double latencyMs = std::chrono::duration<double, std::milli>(latency).count();
    return std::clamp(latencyMs, minLatencyMs, maxLatencyMs * 0.999);
}

} // namespace

struct LatencyWindow::Bins
{
    Histogram current = makeHistogram();
    Histogram previous = makeHistogram();
    std::uint64_t currentCount = 0;
    std::uint64_t previousCount = 0;

    std::uint64_t count(int bin) const
    {
        return std::uint64_t{current.at(bin)} + std::uint64_t{previous.at(bin)};
    }
};

LatencyWindow::LatencyWindow()
    : m_bins(std::make_unique<Bins>())
{}

LatencyWindow::~LatencyWindow() = default;
LatencyWindow::LatencyWindow(LatencyWindow &&other) noexcept = default;
LatencyWindow &LatencyWindow::operator=(LatencyWindow &&other) noexcept = default;

void LatencyWindow::record(Duration latency, TimePoint now)
{
    advance(now);
    m_bins->current(toBinValue(latency));
    ++m_bins->currentCount;
}

std::uint64_t LatencyWindow::count(TimePoint now)
{
    advance(now);
    return m_bins->currentCount + m_bins->previousCount;
}

Duration LatencyWindow::quantile(double quantile, TimePoint now)
{
    const double rank = quantile * static_cast<double>(count(now));
    const auto &axis = m_bins->current.axis();
    std::uint64_t cumulativeCount = 0;
    for (int i = 0; i < axis.size(); ++i) {
        cumulativeCount += m_bins->count(i);
        if (cumulativeCount > 0 && static_cast<double>(cumulativeCount) >= rank)
            return fromSeconds(axis.bin(i).upper() / 1e3);
    }
    return Duration::zero();
}

double LatencyWindow::rankOf(Duration latency, TimePoint now)
{
    const auto total = count(now);
    if (total == 0)
        return 0;
    const int lastBin = m_bins->current.axis().index(toBinValue(latency));
    std::uint64_t cumulativeCount = 0;
    for (int i = 0; i <= lastBin; ++i)
        cumulativeCount += m_bins->count(i);
    return static_cast<double>(cumulativeCount) / static_cast<double>(total);
}

void LatencyWindow::advance(TimePoint now)
{
    if (now - m_periodStart < period)
        return;
    const bool isPreviousRecent = now - m_periodStart < 2 * period;
    std::swap(m_bins->current, m_bins->previous);
    m_bins->previousCount = std::exchange(m_bins->currentCount, 0);
    m_bins->current.reset();
    if (!isPreviousRecent) {
        m_bins->previous.reset();
        m_bins->previousCount = 0;
    }
    m_periodStart = now;
}

} // namespace Sapphireladder
