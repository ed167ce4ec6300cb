#pragma once

#include "Core/Core.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder::Testbed {

/** Outcomes of the requests of a load test. Each request is answered, refused or unknown. */
class LoadTestReport
{
public:
    /** Adds a response from a target. @param status HTTP status of the response */
    void addAnswered(unsigned status, Duration latency);
    /** Adds a request that was not executed. */
    void addRefused(const std::string &reason) { ++m_refused[reason]; }
    /** Adds a request that may have been executed. */
    void addUnknown(const std::string &reason) { ++m_unknown[reason]; }
    /** Adds a response that is corrupt or of another request; addAnswered() counts it, too. */
    void addIncorrect() { ++m_incorrect; }
    /** Adds the outcomes of another thread. */
    void merge(const LoadTestReport &other);

    std::uint64_t sent() const { return answered() + refused() + unknown(); }
    std::uint64_t answered() const { return sum(m_answered); }
    std::uint64_t refused() const { return sum(m_refused); }
    std::uint64_t unknown() const { return sum(m_unknown); }
    std::uint64_t incorrect() const { return m_incorrect; }
    /** @return the latency quantile of the responses with a status below 500. */
    Duration quantile(double quantile) const;

    std::string toText() const;
    std::string toJson() const;

private:
    using Counts = std::map<std::string, std::uint64_t>;

    static std::uint64_t sum(const Counts &counts);

    /** Number of responses by HTTP status. */
    Counts m_answered;
    Counts m_refused;
    Counts m_unknown;
    std::uint64_t m_incorrect = 0;
    std::vector<Duration> m_latencies;
};

} // namespace Sapphireladder::Testbed
