#pragma once

#include <chrono>
#include <cstdint>

namespace Sapphireladder {

/** All durations of decision code are in nanoseconds. */
using Duration = std::chrono::nanoseconds;
/** A point on a monotonic clock. It has no meaning outside the process. */
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

/** Source of the current time, replaced by ManualClock in tests of decisions. */
class Clock
{
public:
    virtual ~Clock() = default;
    /** @return the current time. */
    virtual TimePoint now() const = 0;
};

/** The monotonic clock of the operating system. */
class SteadyClock final : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/**
 * A monotonic clock that goes on while the machine is suspended, so that a request that was held
 * meanwhile is not taken for a young one.
 */
class BootClock final : public Clock
{
public:
    TimePoint now() const override;
};

/** A clock that stands still until it is advanced. Not safe for use by several threads. */
class ManualClock final : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    /** @param duration time to move forward by; not negative. */
    void advance(Duration duration) { m_now += duration; }

private:
    TimePoint m_now{};
};

} // namespace Sapphireladder
