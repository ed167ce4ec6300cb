#pragma once

#include <chrono>
#include <cstdint>

namespace Sapphireladder {

/** Durations have nanosecond resolution throughout. */
using Duration = std::chrono::nanoseconds;
/** A time on a monotonic clock; has no meaning outside the process. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::duration_cast;

/** @return the duration in whole milliseconds, rounded down. */
inline std::int64_t toMilliseconds(Duration duration)
{
    return duration_cast<std::chrono::milliseconds>(duration).count();
}

/** @return the duration in seconds. */
inline double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** @return the duration of the given number of seconds. */
inline Duration fromSeconds(double seconds)
{
    return duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/** Source of the current time; tests of decision code use ManualClock. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/** The monotonic clock of the operating system. */
class SteadyClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/**
 * A monotonic clock that includes the time during which the VM is suspended. Otherwise a request
 * that was pending during the suspension would still count as recent.
 */
class BootClock final : public Clock
{
public:
    TimePoint now() const override;
};

/** A clock that changes only when it is advanced. Not thread-safe. */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    /** @param duration time to add; not negative. */
    void advance(Duration duration) { m_now += duration; }

private:
    TimePoint m_now{};
};

} // namespace Sapphireladder
