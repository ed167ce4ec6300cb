#pragma once

#include "Process/TargetDirectory.h"
#include "Request/TargetEligibility.h"

#include <map>
#include <memory>
#include <tuple>

namespace Sapphireladder {

/**
 * The eligibility of each incarnation of a target. An entry outlives the target's registry record,
 * so that a target which announced that it is leaving stays excluded if its record lapses and
 * returns, or if an older record arrives from another VM. Used by the traffic thread only.
 */
class TargetEligibilityTable
{
public:
    /** How long an entry is kept after its record is gone. */
    static constexpr Duration retention = std::chrono::hours(1);

    /** @return the eligibility of the record's incarnation. */
    std::shared_ptr<TargetEligibility> find(const TargetRecord &record, TimePoint now);
    /** Removes entries that are neither in use nor needed any more. */
    void prune(TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    /** Without an incarnation, an address change is taken as a restart of the target. */
    using Key = std::tuple<TargetId, Incarnation, std::string>;

    struct Entry
    {
        std::shared_ptr<TargetEligibility> eligibility;
        TimePoint lastUsedAt{};
    };

    std::map<Key, Entry> m_entries;
};

} // namespace Sapphireladder
