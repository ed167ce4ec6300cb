#pragma once

#include "Testbed/NoisyTenant.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace Sapphireladder::Testbed {

/** Bounds of what a target takes on. */
struct SlotLimits
{
    /** Requests that run at the same time. */
    unsigned slots = 6;
    /** Requests that may wait for a slot. */
    unsigned queue = 16;
};

/** Whether a request got a slot. */
enum class SlotEntry {
    Started,
    QueueFull,
    /** The request's time was over before a slot was free. */
    TooLate,
    Stopped,
};

/** Slots of a target and the requests that wait for them, first come first served. */
class SlotQueue
{
public:
    SlotQueue(const SlotLimits &limits, const NoiseOptions &noise, std::uint64_t seed);

    void setLimits(const SlotLimits &limits);
    void setNoise(const NoiseOptions &options);

    /** Waits for a slot. @param deadline time after which the request must not start. */
    SlotEntry enter(TimePoint deadline);
    /** Gives a slot back. */
    void leave();
    /** Ends the waiting of every request. */
    void stop();

    /** @return requests that run or wait, and slots that the noisy tenant holds. */
    unsigned load();
    unsigned slots();

private:
    bool hasFreeSlot(TimePoint now);

    SteadyClock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    SlotLimits m_limits;
    NoisyTenant m_noise;
    unsigned m_running = 0;
    std::uint64_t m_nextTicket = 0;
    std::deque<std::uint64_t> m_waiting;
    bool m_stopped = false;
};

} // namespace Sapphireladder::Testbed
