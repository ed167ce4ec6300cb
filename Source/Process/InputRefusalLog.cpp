#include "Process/Process.h"

#include <optional>

namespace Sapphireladder {

namespace {

constexpr Duration minInterval = std::chrono::seconds(1);

std::optional<EventId> eventOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadRequest:
    case RefusalReason::BadFraming:
    case RefusalReason::HeaderTooLarge:
    case RefusalReason::BodyTooLarge:
    case RefusalReason::UnknownService:
    case RefusalReason::DepthExceeded:
    case RefusalReason::RequestTruncated:
    case RefusalReason::RequestTimeout:
        return EventId::CallerInputRefused;
    case RefusalReason::ConnectionLimit:
        return EventId::CallerConnectionRefused;
    default:
        return std::nullopt;
    }
}

} // namespace

void InputRefusalLog::record(const RequestOutcome &outcome)
{
    const auto *refusal = std::get_if<Refusal>(&outcome);
    const auto event = refusal ? eventOf(refusal->reason) : std::nullopt;
    if (!event)
        return;
    std::uint64_t count = 0;
    {
        const std::lock_guard lock(m_mutex);
        auto &entry = m_entries[static_cast<std::size_t>(refusal->reason)];
        ++entry.count;
        const auto now = m_clock.now();
        if (now < entry.nextEventAt)
            return;
        entry.nextEventAt = now + minInterval;
        std::swap(count, entry.count);
    }
    m_events.record(*event, {{"reason", std::string(nameOf(refusal->reason))},
                             {"count", std::to_string(count)}});
}

} // namespace Sapphireladder
