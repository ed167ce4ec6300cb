#include "Process/Process.h"

namespace Sapphireladder {

std::string_view nameOf(ControlCounter counter)
{
    static constexpr std::string_view names[] = {
            "sapphireladder_store_calls_total",
            "sapphireladder_store_calls_failed_total",
            "sapphireladder_peer_messages_sent_total",
            "sapphireladder_peer_messages_received_total",
            "sapphireladder_peer_calls_failed_total",
            "sapphireladder_peer_channels_replaced_total",
            "sapphireladder_peer_sent_bytes_total",
            "sapphireladder_peer_received_bytes_total",
            "sapphireladder_store_sent_bytes_total",
            "sapphireladder_store_received_bytes_total",
    };
    static_assert(std::size(names) == static_cast<std::size_t>(ControlCounter::Count));
    return names[static_cast<std::size_t>(counter)];
}

} // namespace Sapphireladder
