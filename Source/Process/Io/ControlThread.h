#pragma once

#include "Process/Process.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

namespace Sapphireladder {

/** The thread that runs the control state. Other threads post messages to its bounded mailbox. */
class ControlThread
{
public:
    /** Maximum number of queued messages. */
    static constexpr std::size_t mailboxCapacity = 4096;

    ControlThread() = default;
    ~ControlThread() { stop(); }

    /**
     * Starts the thread.
     * @param state accessed only by this thread from now on; must outlive the thread
     * @param tickInterval time between two ticks
     */
    void start(ControlState &state, Duration tickInterval);

    /** Ends the thread after the message being handled. Queued messages are dropped. */
    void stop();

    /** @return whether the message was queued; false if the mailbox is full or closed. */
    bool post(ControlMessage message);

private:
    void run(ControlState &state, Duration tickInterval);

    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<ControlMessage> m_mailbox;
    bool m_isClosed = false;
    std::thread m_thread;
};

} // namespace Sapphireladder
