#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Sapphireladder {

/** A few threads for blocking calls that the control thread must not wait for. */
class IoThreads
{
public:
    /** Calls that may wait. */
    static constexpr std::size_t queueCapacity = 256;

    explicit IoThreads(unsigned count);
    ~IoThreads();

    /** Ends the threads after the calls in work. Calls that wait are dropped. */
    void stop();

    /** @return whether the call was taken; false if the queue is full or closed. */
    bool post(std::function<void()> call);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_queue;
    bool m_closed = false;
    std::vector<std::thread> m_threads;
};

} // namespace Sapphireladder
