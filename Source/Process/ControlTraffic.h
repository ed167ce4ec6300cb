#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <string_view>

namespace Sapphireladder {

/** Counters of the process's own calls to the platform and to other VMs. */
enum class ControlCounter : std::uint8_t {
    StoreCalls,
    StoreCallsFailed,
    PeerMessagesSent,
    PeerMessagesReceived,
    PeerCallsFailed,
    PeerChannelsReplaced,
    /** Message bodies only, without HTTP/2 and TCP overhead. */
    PeerBytesSent,
    PeerBytesReceived,
    StoreBytesSent,
    StoreBytesReceived,
    Count,
};

/** Counters of control traffic. Thread-safe. */
class ControlTraffic
{
public:
    void add(ControlCounter counter, std::uint64_t n = 1)
    {
        m_counts[static_cast<std::size_t>(counter)].fetch_add(n, std::memory_order_relaxed);
    }
    std::uint64_t value(ControlCounter counter) const
    {
        return m_counts[static_cast<std::size_t>(counter)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(ControlCounter::Count)>
            m_counts{};
};

/** @return the name of the counter in the metrics. */
std::string_view nameOf(ControlCounter counter);

} // namespace Sapphireladder
