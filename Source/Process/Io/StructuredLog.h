#pragma once

#include "Core/Core.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace Sapphireladder {

/** Rate and buffer limits of a StructuredLog. */
struct LogLimits
{
    /** Sustained rate and burst size in lines. A line costs about 3 us of CPU time. */
    double linesPerSecond = 400;
    double burst = 1000;
    /** Lines beyond this are dropped. */
    std::size_t maxBufferBytes = 256 * kibibyte;
};

/**
 * Writes events to a file descriptor as "time=MS level=info E312 request-answered key=value ...".
 * Never blocks: lines are buffered up to a limit, and lines beyond the buffer or rate limit are
 * dropped and counted. Thread-safe.
 */
class StructuredLog final : public EventSink
{
public:
    using EventSink::record;

    /**
     * @param fd descriptor to write to; must stay open while the object lives
     * @param clock used for rate limiting; must outlive the object
     */
    StructuredLog(int fd, LogLimits limits, const Clock &clock);
    ~StructuredLog() override { flush(); }

    /**
     * @param handler called when the buffer becomes non-empty, on the thread that recorded the
     * event; schedules a flush()
     */
    void setPendingHandler(std::function<void()> handler);
    void record(EventId id, std::span<const EventField> fields) override;
    /** Writes as much as the descriptor accepts. @return whether the buffer is now empty. */
    bool flush();
    std::uint64_t droppedLines();

private:
    bool takeToken();
    void append(std::string_view line, Severity severity);
    void reportDropped();

    const int m_fd;
    const LogLimits m_limits;
    const Clock &m_clock;
    std::mutex m_mutex;
    std::function<void()> m_pendingHandler;
    std::string m_buffer;
    double m_tokens;
    TimePoint m_tokensUpdatedAt;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
};

} // namespace Sapphireladder
