#include "Process/Io/ProcessIo.h"

#include <algorithm>
#include <cerrno>
#include <chrono>

#include <poll.h>
#include <unistd.h>

namespace Sapphireladder {

namespace {

constexpr std::string_view severityNames[] = {"info", "warning", "error"};
/** Size that a pipe accepts without blocking once poll() reports it writable (PIPE_BUF). */
constexpr std::size_t maxAtomicWriteBytes = 4096;

std::int64_t wallClockMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

bool isWritable(int fd)
{
    pollfd entry{fd, POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

StructuredLog::StructuredLog(int fd, LogLimits limits, const Clock &clock)
    : m_fd(fd)
    , m_limits(limits)
    , m_clock(clock)
    , m_tokens(limits.burst)
    , m_tokensUpdatedAt(clock.now())
{}

void StructuredLog::setPendingHandler(std::function<void()> handler)
{
    const std::lock_guard lock(m_mutex);
    m_pendingHandler = std::move(handler);
}

void StructuredLog::record(EventId id, std::span<const EventField> fields)
{
    const auto line = formatEvent(id, fields);
    const std::lock_guard lock(m_mutex);
    const bool wasEmpty = m_buffer.empty();
    if (!takeToken() || m_buffer.size() + line.size() > m_limits.maxBufferBytes) {
        ++m_droppedLines;
        return;
    }
    append(line, describeEvent(id).severity);
    if (wasEmpty && m_pendingHandler)
        m_pendingHandler();
}

bool StructuredLog::takeToken()
{
    const auto now = m_clock.now();
    m_tokens = std::min(m_limits.burst,
                        m_tokens + toSeconds(now - m_tokensUpdatedAt) * m_limits.linesPerSecond);
    m_tokensUpdatedAt = now;
    if (m_tokens < 1.0)
        return false;
    m_tokens -= 1.0;
    return true;
}

void StructuredLog::append(std::string_view line, Severity severity)
{
    m_buffer.append("time=").append(std::to_string(wallClockMilliseconds())).append(" level=");
    m_buffer.append(severityNames[static_cast<std::size_t>(severity)]).append(" ");
    m_buffer.append(line).append("\n");
}

void StructuredLog::reportDropped()
{
    if (m_droppedLines == m_reportedDroppedLines)
        return;
    const EventField fields[] = {{"lines", std::to_string(m_droppedLines - m_reportedDroppedLines)},
                                 {"total", std::to_string(m_droppedLines)}};
    append(formatEvent(EventId::LogLinesDropped, fields), Severity::Warning);
    m_reportedDroppedLines = m_droppedLines;
}

bool StructuredLog::flush()
{
    const std::lock_guard lock(m_mutex);
    reportDropped();
    std::size_t written = 0;
    while (written < m_buffer.size() && isWritable(m_fd)) {
        const auto size = std::min(maxAtomicWriteBytes, m_buffer.size() - written);
        const auto n = ::write(m_fd, m_buffer.data() + written, size);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, written);
    return m_buffer.empty();
}

std::uint64_t StructuredLog::droppedLines()
{
    const std::lock_guard lock(m_mutex);
    return m_droppedLines;
}

} // namespace Sapphireladder
