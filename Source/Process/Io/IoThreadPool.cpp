#include "Process/Io/ProcessIo.h"

namespace Sapphireladder {

IoThreadPool::IoThreadPool(unsigned count)
{
    for (unsigned i = 0; i < count; ++i)
        m_threads.emplace_back([this] { run(); });
}

IoThreadPool::~IoThreadPool()
{
    stop();
}

void IoThreadPool::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
    }
    m_condition.notify_all();
    for (auto &it : m_threads) {
        if (it.joinable())
            it.join();
    }
}

bool IoThreadPool::post(std::function<void()> call)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed || m_queue.size() >= queueCapacity)
            return false;
        m_queue.push_back(std::move(call));
    }
    m_condition.notify_one();
    return true;
}

void IoThreadPool::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_condition.wait(lock, [this] { return m_isClosed || !m_queue.empty(); });
        if (m_isClosed)
            return;
        const auto call = std::move(m_queue.front());
        m_queue.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

} // namespace Sapphireladder
