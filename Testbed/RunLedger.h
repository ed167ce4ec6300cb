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
class RunLedger
{
public:
    void record(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        ++m_runs[key];
    }

    std::map<std::string, std::uint64_t> runs() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_runs;
};

} // namespace Sapphireladder::Testbed
