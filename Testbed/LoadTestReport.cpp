#include "Testbed/Testbed.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace Sapphireladder::Testbed {

namespace {

/** A latency quantile in the report. */
struct ReportedQuantile
{
    std::string_view name;
    double quantile;
};

constexpr ReportedQuantile reportedQuantiles[] = {
        {"p50", 0.5},
        {"p99", 0.99},
        {"p99.9", 0.999},
};

double toMicroseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

} // namespace

void LoadTestReport::addAnswered(unsigned status, Duration latency)
{
    ++m_answered[std::to_string(status)];
    // Fast server errors are excluded, since they would lower the latency quantiles.
    constexpr unsigned firstServerError = 500;
    if (status < firstServerError)
        m_latencies.push_back(latency);
}

void LoadTestReport::merge(const LoadTestReport &other)
{
    for (const auto &[status, n] : other.m_answered)
        m_answered[status] += n;
    for (const auto &[reason, n] : other.m_refused)
        m_refused[reason] += n;
    for (const auto &[reason, n] : other.m_unknown)
        m_unknown[reason] += n;
    m_incorrect += other.m_incorrect;
    m_latencies.insert(m_latencies.end(), other.m_latencies.begin(), other.m_latencies.end());
}

std::uint64_t LoadTestReport::sum(const Counts &counts)
{
    std::uint64_t total = 0;
    for (const auto &[name, n] : counts)
        total += n;
    return total;
}

Duration LoadTestReport::quantile(double quantile) const
{
    if (m_latencies.empty())
        return Duration::zero();
    auto sorted = m_latencies;
    const auto rank = std::ceil(quantile * static_cast<double>(sorted.size()));
    const auto it = sorted.begin() + std::max(0L, static_cast<long>(rank) - 1);
    std::nth_element(sorted.begin(), it, sorted.end());
    return *it;
}

std::string LoadTestReport::toText() const
{
    std::ostringstream out;
    const auto write = [&out](std::string_view name, const Counts &counts) {
        out << name << ' ' << sum(counts) << '\n';
        for (const auto &[key, n] : counts)
            out << "  " << key << ' ' << n << '\n';
    };
    out << "sent " << sent() << '\n';
    write("answered", m_answered);
    write("refused", m_refused);
    write("unknown", m_unknown);
    out << "incorrect responses " << m_incorrect << '\n' << std::fixed << std::setprecision(3);
    for (const auto &it : reportedQuantiles)
        out << it.name << ' ' << toMicroseconds(quantile(it.quantile)) / 1000 << " ms\n";
    return out.str();
}

std::string LoadTestReport::toJson() const
{
    nlohmann::json json = {
            {"sent", sent()},
            {"answered", answered()},
            {"answered_by_status", m_answered},
            {"refused", refused()},
            {"refused_by_reason", m_refused},
            {"unknown", unknown()},
            {"unknown_by_reason", m_unknown},
            {"wrong", m_incorrect},
    };
    for (const auto &it : reportedQuantiles)
        json[std::string(it.name) + "_us"] = std::llround(toMicroseconds(quantile(it.quantile)));
    return json.dump();
}

} // namespace Sapphireladder::Testbed
