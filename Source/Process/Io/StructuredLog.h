#pragma once

#include "Core/Core.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace Sapphireladder {

/** Bounds of a StructuredLog. */
struct LogLimits
{
    /** Lines a second on average, and at once. A line costs about 3 us of processor time. */
    double linesPerSecond = 400;
    double burst = 1000;
    /** Bytes that wait to be written. */
    std::size_t bufferSize = 256 * kibibyte;
};

/**
 * Writes events to a file descriptor, "time=MS level=info E312 request-answered key=value ...".
 * Never blocks: lines wait in a bounded buffer, and those beyond a bound are dropped and counted.
 * Safe for several threads.
 */
class StructuredLog final : public EventSink
{
public:
    using EventSink::record;

    /**
     * @param fd where lines are written; stays open as long as the object
     * @param clock source of the rate; outlives the object
     */
    StructuredLog(int fd, LogLimits limits, const Clock &clock);
    ~StructuredLog() override { flush(); }

    /** Called from any thread when the first line waits: flush() is to be called soon. */
    void setPendingHandler(std::function<void()> handler);
    void record(EventId id, std::span<const EventField> fields) override;
    /** Writes what waits, as far as the descriptor takes it. @return whether nothing waits. */
    bool flush();
    std::uint64_t droppedLines();

private:
    bool takeToken();
    void append(std::string_view line, Severity severity);
    void noteDropped();

    const int m_fd;
    const LogLimits m_limits;
    const Clock &m_clock;
    std::mutex m_mutex;
    std::function<void()> m_pendingHandler;
    std::string m_buffer;
    double m_tokens;
    TimePoint m_tokensAt;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
};

} // namespace Sapphireladder
