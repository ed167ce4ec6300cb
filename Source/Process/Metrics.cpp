#include "Process/Process.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace Sapphireladder {

namespace {

constexpr double minLatencyUs = 10.0;
constexpr double maxLatencyUs = 1e8;
/** Bins from 10 us to 100 s, each 8.4 % wider than the previous one. */
constexpr unsigned binCount = 200;

template<typename Enum>
void writeReasonCounters(std::ostream &out, std::string_view name, std::string_view help,
                         const ReasonCounters<Enum> &counters)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " counter\n";
    for (std::size_t i = 0; i < ReasonCounters<Enum>::size; ++i) {
        const auto reason = static_cast<Enum>(i);
        out << name << "{reason=\"" << nameOf(reason) << "\"} " << counters.value(reason) << '\n';
    }
}

void writeCounter(std::ostream &out, std::string_view name, std::string_view help, std::uint64_t n)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << " counter\n";
    out << name << ' ' << n << '\n';
}

} // namespace

struct LatencyHistogram::Bins
{
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using Count = boost::histogram::accumulators::thread_safe<std::uint64_t>;
    using Storage = boost::histogram::dense_storage<Count>;

    boost::histogram::histogram<std::tuple<Axis>, Storage> histogram =
            boost::histogram::make_histogram_with(Storage(),
                                                  Axis(binCount, minLatencyUs, maxLatencyUs));
};

LatencyHistogram::LatencyHistogram()
    : m_bins(std::make_unique<Bins>())
{}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration latency)
{
    const double latencyUs = std::chrono::duration<double, std::micro>(latency).count();
    m_bins->histogram(std::max(latencyUs, minLatencyUs));
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t n = 0;
    for (const auto &it : m_bins->histogram)
        n += it;
    return n;
}

Duration LatencyHistogram::quantile(double quantile) const
{
    const auto rank = quantile * static_cast<double>(count());
    double cumulativeCount = 0;
    const auto &axis = m_bins->histogram.axis();
    for (int i = 0; i < axis.size(); ++i) {
        cumulativeCount += static_cast<double>(m_bins->histogram.at(i).load());
        if (cumulativeCount > 0 && cumulativeCount >= rank)
            return fromSeconds(axis.bin(i).upper() / 1e6);
    }
    return Duration::zero();
}

void Metrics::recordOutcome(const RequestOutcome &outcome, Duration latency)
{
    if (const auto *refusal = std::get_if<Refusal>(&outcome)) {
        m_refusals.increment(refusal->reason);
    } else if (const auto *unknown = std::get_if<Unknown>(&outcome)) {
        m_unknowns.increment(unknown->reason);
    } else {
        m_answered.fetch_add(1, std::memory_order_relaxed);
        m_latency.record(latency);
    }
}

std::string Metrics::toText() const
{
    std::ostringstream out;
    writeCounter(out, "sapphireladder_answered_total", "Requests answered by a target.",
                 answered());
    writeReasonCounters(out, "sapphireladder_refused_total", "Requests refused without being run.",
                        m_refusals);
    writeReasonCounters(out, "sapphireladder_unknown_total", "Requests with an unknown outcome.",
                        m_unknowns);
    writeReasonCounters(out, "sapphireladder_retries_total", "Retried attempts.", m_retries);
    writeReasonCounters(out, "sapphireladder_retries_denied_total",
                        "Failed attempts that were not retried.", m_denials);
    writeCounter(out, "sapphireladder_hedges_total", "Attempts sent beside slow ones.",
                 m_hedges.load(std::memory_order_relaxed));
    writeCounter(out, "sapphireladder_hedges_won_total", "Hedges that responded first.",
                 m_hedgesWon.load(std::memory_order_relaxed));
    writeReasonCounters(out, "sapphireladder_hedges_denied_total", "Hedges that were not sent.",
                        m_hedgeDenials);
    writeCounter(out, "sapphireladder_older_versions_total",
                 "Reported preset versions lower than the one applied.",
                 m_olderVersions.load(std::memory_order_relaxed));
    for (std::size_t i = 0; i < static_cast<std::size_t>(ControlCounter::Count); ++i) {
        const auto counter = static_cast<ControlCounter>(i);
        writeCounter(out, nameOf(counter), "Control traffic of this process.",
                     m_controlTraffic.value(counter));
    }
    writeCounter(out, "sapphireladder_observations_dropped_total",
                 "Target observations dropped because the control thread fell behind.",
                 m_droppedObservations.load(std::memory_order_relaxed));
    out << "# HELP sapphireladder_latency_seconds Time from arrival to answer.\n"
        << "# TYPE sapphireladder_latency_seconds summary\n";
    for (const double it : {0.5, 0.99, 0.999}) {
        out << "sapphireladder_latency_seconds{quantile=\"" << it << "\"} "
            << toSeconds(m_latency.quantile(it)) << '\n';
    }
    out << "sapphireladder_latency_seconds_count " << m_latency.count() << '\n';
    return out.str();
}

} // namespace Sapphireladder
