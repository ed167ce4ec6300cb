#pragma once

#include "Testbed/LoadOptions.h"

#include <mutex>
#include <optional>

namespace Sapphireladder::Testbed {

/** One request of a run. */
struct PlannedRequest
{
    /** When it is meant to start. Latency is counted from here. */
    TimePoint start;
    std::size_t endpoint = 0;
    std::string method = "GET";
    std::string id;
    /** Empty if the request has none. */
    std::string key;
    bool deferrable = false;
};

/** Hands out the requests of a run to its threads. */
class LoadPlan
{
public:
    LoadPlan(const LoadOptions &options, TimePoint start);

    /** @return the next request, or nothing at the end of the run. */
    std::optional<PlannedRequest> next(TimePoint now);

private:
    TimePoint nextStart(TimePoint now);
    std::string drawMethod();

    const LoadOptions &m_options;
    TimePoint m_end;
    std::mutex m_mutex;
    RandomSource m_random;
    /** Keeps the ids of two runs against the same targets apart. */
    std::string m_runId = RandomSource::fromSystem().hexDigits();
    TimePoint m_nextStart;
    std::uint64_t m_sent = 0;
    std::optional<PlannedRequest> m_duplicate;
};

} // namespace Sapphireladder::Testbed
