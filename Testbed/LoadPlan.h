#pragma once

#include "Testbed/LoadOptions.h"

#include <mutex>
#include <optional>

namespace Sapphireladder::Testbed {

/** One request of a load test. */
struct PlannedRequest
{
    /** Intended start, from which latency is measured. */
    TimePoint start;
    /** Position in LoadOptions::endpoints. */
    std::size_t endpointIndex = 0;
    std::string method = "GET";
    std::string id;
    /** Idempotency key; empty if the request has none. */
    std::string key;
    bool deferrable = false;
};

/** Generates the requests of a load test. Thread-safe, since all of its threads share it. */
class LoadPlan
{
public:
    LoadPlan(const LoadOptions &options, TimePoint start);

    /** @return the next request, or nothing at the end of the load test. */
    std::optional<PlannedRequest> next(TimePoint now);

private:
    TimePoint nextStart(TimePoint now);
    std::string drawMethod();

    const LoadOptions &m_options;
    TimePoint m_endTime;
    std::mutex m_mutex;
    RandomSource m_random;
    /** Makes request ids unique across load tests against the same targets. */
    std::string m_requestIdPrefix = RandomSource::fromSystem().hexDigits();
    TimePoint m_nextStart;
    std::uint64_t m_plannedCount = 0;
    /** Second copy of the latest request, to be returned next. */
    std::optional<PlannedRequest> m_pendingDuplicate;
};

} // namespace Sapphireladder::Testbed
