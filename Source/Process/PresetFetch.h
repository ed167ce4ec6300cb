#pragma once

#include "Process/PeerMessages.h"

#include <optional>

namespace Sapphireladder {

/** One attempt to fetch a preset's text. */
struct FetchAttempt
{
    ActivePreset activePreset;
    /** Peer to fetch from; the object store if empty. */
    std::optional<Endpoint> peer;
};

/** Decides when and from where to fetch the highest reported version, until it is applied. */
class PresetFetch
{
public:
    static constexpr Duration minBackoff = std::chrono::milliseconds(200);
    static constexpr Duration maxBackoff = std::chrono::seconds(4);
    /** Another attempt may start after this time: a result is lost if a queue was full. */
    static constexpr Duration attemptTimeout = std::chrono::seconds(10);

    /**
     * Records a report of a version higher than the one applied.
     * @param activePreset the version with its digest
     * @param from peer that reported it; empty for the store's row, whose digest is authoritative
     */
    void setWanted(const ActivePreset &activePreset, std::optional<Endpoint> from);

    /**
     * @param applied version that this VM has applied
     * @param peers peers to try if the one that reported the version fails
     * @return the attempt to start now, if any.
     */
    std::optional<FetchAttempt> nextAttempt(PresetVersion applied, std::span<const Endpoint> peers,
                                            TimePoint now, RandomSource &random);

    /** Records the result of an attempt. */
    void recordResult(PresetVersion version, bool succeeded, TimePoint now, RandomSource &random);

    /** @return the highest reported version, 0 before the first. */
    PresetVersion wanted() const { return m_wanted.version; }

private:
    ActivePreset m_wanted;
    std::optional<Endpoint> m_reporter;
    /** Version of the attempt in flight, 0 if there is none. */
    PresetVersion m_inFlight = 0;
    TimePoint m_attemptDeadline{};
    TimePoint m_nextAttempt{};
    unsigned m_failures = 0;
};

} // namespace Sapphireladder
