#pragma once

#include "Core/Core.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder::Testbed {

/** What became of the requests of a run. Each request is in exactly one of the three maps. */
class RunReport
{
public:
    /** @param status status of the answer, which is a target's own */
    void addAnswered(unsigned status, Duration latency);
    /** The request was told not to have run. */
    void addRefused(const std::string &reason) { ++m_refused[reason]; }
    /** The request may have run. */
    void addUnknown(const std::string &reason) { ++m_unknown[reason]; }
    /** An answer that was counted is not a whole answer to its own request. */
    void addWrong() { ++m_wrong; }
    /** Adds what another thread saw. */
    void merge(const RunReport &other);

    std::uint64_t sent() const { return answered() + refused() + unknown(); }
    std::uint64_t answered() const { return sum(m_answered); }
    std::uint64_t refused() const { return sum(m_refused); }
    std::uint64_t unknown() const { return sum(m_unknown); }
    std::uint64_t wrong() const { return m_wrong; }
    /** @return the quantile of the latencies of answers with a status below 500. */
    Duration quantile(double quantile) const;

    std::string toText() const;
    std::string toJson() const;

private:
    using Counts = std::map<std::string, std::uint64_t>;

    static std::uint64_t sum(const Counts &counts);

    /** By status. */
    Counts m_answered;
    Counts m_refused;
    Counts m_unknown;
    std::uint64_t m_wrong = 0;
    std::vector<Duration> m_latencies;
};

} // namespace Sapphireladder::Testbed
