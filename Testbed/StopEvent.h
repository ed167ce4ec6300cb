#pragma once

#include "Core/Core.h"

#include <condition_variable>
#include <mutex>

namespace Sapphireladder::Testbed {

/** Interrupts timed waits when a test server stops. */
class StopEvent
{
public:
    void stop()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopped = true;
        }
        m_changed.notify_all();
    }

    /** Waits for the duration. @return whether stop() was called. */
    bool waitFor(Duration duration)
    {
        std::unique_lock lock(m_mutex);
        if (duration <= Duration::zero())
            return m_stopped;
        return m_changed.wait_for(lock, duration, [this] { return m_stopped; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopped = false;
};

} // namespace Sapphireladder::Testbed
