#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace Sapphireladder::Testbed {

/** How often each request was run, by its idempotency key or else its request id. */
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
