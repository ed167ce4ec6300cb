#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Sapphireladder {

/** Thread pool for blocking calls, which the control thread must not make itself. */
class IoThreadPool
{
public:
    /** Maximum number of queued calls. */
    static constexpr std::size_t queueCapacity = 256;

    explicit IoThreadPool(unsigned count);
    ~IoThreadPool();

    /** Ends the threads after the running calls. Queued calls are dropped. */
    void stop();

    /** @return whether the call was queued; false if the queue is full or closed. */
    bool post(std::function<void()> call);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<std::function<void()>> m_queue;
    bool m_isClosed = false;
    std::vector<std::thread> m_threads;
};

} // namespace Sapphireladder
