#include "Process/Io/ProcessIo.h"

namespace Sapphireladder {

void ControlThread::start(ControlState &state, Duration tickInterval)
{
    m_thread = std::thread([this, &state, tickInterval] { run(state, tickInterval); });
}

void ControlThread::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
    }
    m_condition.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

bool ControlThread::post(ControlMessage message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed || m_mailbox.size() >= mailboxCapacity)
            return false;
        m_mailbox.push_back(std::move(message));
    }
    m_condition.notify_one();
    return true;
}

void ControlThread::run(ControlState &state, Duration tickInterval)
{
    auto nextTick = std::chrono::steady_clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_isClosed) {
        ControlMessage message = Tick{};
        const bool isTickDue = std::chrono::steady_clock::now() >= nextTick;
        if (isTickDue) {
            nextTick = std::chrono::steady_clock::now() + tickInterval;
        } else if (!m_mailbox.empty()) {
            message = std::move(m_mailbox.front());
            m_mailbox.pop_front();
        } else {
            m_condition.wait_until(lock, nextTick);
            continue;
        }
        lock.unlock();
        state.handle(message);
        lock.lock();
    }
}

} // namespace Sapphireladder
