#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Sapphireladder::Testbed {

/**
 * Counts the executions of each request, by its idempotency key or, without one, its request id.
 * Thread-safe.
 */
class ExecutionCounter
{
public:
    void record(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts[key];
    }

    std::map<std::string, std::uint64_t> counts() const
    {
        const std::lock_guard lock(m_mutex);
        return m_counts;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace Sapphireladder::Testbed
