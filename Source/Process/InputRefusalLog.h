#pragma once

#include "Request/Request.h"

#include <array>
#include <mutex>

namespace Sapphireladder {

/**
 * Records refusals of bad input as events, at most one a second for each reason, so that a faulty
 * or hostile caller cannot fill the log. The counters count every refusal. Safe for several
 * threads.
 */
class InputRefusalLog
{
public:
    /** @param events outlives the object @param clock outlives the object */
    InputRefusalLog(EventSink &events, const Clock &clock)
        : m_events(events)
        , m_clock(clock)
    {}

    /** Records the outcome if it refuses bad input or a connection. */
    void record(const RequestOutcome &outcome);

private:
    struct Entry
    {
        TimePoint nextEvent = TimePoint::min();
        /** Refusals since the last event. */
        std::uint64_t count = 0;
    };

    EventSink &m_events;
    const Clock &m_clock;
    std::mutex m_mutex;
    std::array<Entry, static_cast<std::size_t>(RefusalReason::Count)> m_entries;
};

} // namespace Sapphireladder
