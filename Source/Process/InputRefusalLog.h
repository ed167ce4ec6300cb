#pragma once

#include "Request/Request.h"

#include <array>
#include <mutex>

namespace Sapphireladder {

/**
 * Logs refusals of invalid input, at most one event per second and reason, so that a faulty or
 * hostile caller cannot flood the log. The metrics count every refusal. Thread-safe.
 */
class InputRefusalLog
{
public:
    /** The references must outlive the object. */
    InputRefusalLog(EventSink &events, const Clock &clock)
        : m_events(events)
        , m_clock(clock)
    {}

    /** Logs the outcome if it is a refusal of invalid input or of a connection. */
    void record(const RequestOutcome &outcome);

private:
    struct Entry
    {
        TimePoint nextEventAt = TimePoint::min();
        /** Refusals since the last event was logged. */
        std::uint64_t count = 0;
    };

    EventSink &m_events;
    const Clock &m_clock;
    std::mutex m_mutex;
    std::array<Entry, static_cast<std::size_t>(RefusalReason::Count)> m_entries;
};

} // namespace Sapphireladder
