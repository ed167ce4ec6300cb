#pragma once

#include "Process/PeerMessages.h"

#include <optional>

namespace Sapphireladder {

/** One attempt to get a preset's text. */
struct FetchStep
{
    ActivePreset inForce;
    /** Peer to ask; the object store if empty. */
    std::optional<Endpoint> peer;
};

/** Decides when and where to fetch the text of the highest version heard of, until it is applied.
 */
class PresetFetch
{
public:
    static constexpr Duration minBackoff = std::chrono::milliseconds(200);
    static constexpr Duration maxBackoff = std::chrono::seconds(4);
    /** An attempt whose end is not reported, because a queue was full, counts as failed then. */
    static constexpr Duration attemptLimit = std::chrono::seconds(10);

    /**
     * Hears of a version higher than the one applied.
     * @param inForce the version with its digest
     * @param from peer that knows it; empty for the store's row, whose digest is the valid one
     */
    void want(const ActivePreset &inForce, std::optional<Endpoint> from);

    /**
     * @param applied version that the VM applies
     * @param peers peers to ask if the one that told of the version fails
     * @return the attempt to start now, if any.
     */
    std::optional<FetchStep> next(PresetVersion applied, std::span<const Endpoint> peers,
                                  TimePoint now, RandomSource &random);

    /** Takes the end of an attempt. */
    void ended(PresetVersion version, bool succeeded, TimePoint now, RandomSource &random);

    /** @return the highest version heard of, 0 before the first. */
    PresetVersion wanted() const { return m_wanted.version; }

private:
    ActivePreset m_wanted;
    std::optional<Endpoint> m_from;
    /** Version of the attempt under way, 0 if there is none. */
    PresetVersion m_inFlight = 0;
    TimePoint m_attemptEnd{};
    TimePoint m_nextAttempt{};
    unsigned m_failures = 0;
};

} // namespace Sapphireladder
