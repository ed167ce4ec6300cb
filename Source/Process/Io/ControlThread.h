#pragma once

#include "Process/Process.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace Sapphireladder {

/** The one thread that runs the control state. Others post messages to its bounded mailbox. */
class ControlThread
{
public:
    /** Messages that may wait. */
    static constexpr std::size_t mailboxCapacity = 4096;

    ControlThread() = default;
    ~ControlThread() { stop(); }

    /**
     * Starts the thread.
     * @param state used by the thread alone from now on; outlives the thread
     * @param tickInterval time between two ticks
     */
    void start(ControlState &state, Duration tickInterval);

    /** Waits for the message in work and ends the thread. Messages that wait are dropped. */
    void stop();

    /** @return whether the message was taken; false if the mailbox is full or closed. */
    bool post(ControlMessage message);

private:
    void run(ControlState &state, Duration tickInterval);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<ControlMessage> m_mailbox;
    bool m_closed = false;
    std::thread m_thread;
};

} // namespace Sapphireladder
