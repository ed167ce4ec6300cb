#include "Process/Process.h"

namespace Sapphireladder {

std::shared_ptr<TargetEligibility> TargetEligibilityTable::find(const TargetRecord &record,
                                                                TimePoint now)
{
    auto &entry = m_entries[{record.id, record.incarnation, record.endpoint.toString()}];
    if (!entry.eligibility)
        entry.eligibility = std::make_shared<TargetEligibility>();
    entry.lastUsedAt = now;
    return entry.eligibility;
}

void TargetEligibilityTable::prune(TimePoint now)
{
    std::erase_if(m_entries, [now](const auto &item) {
        const auto &entry = item.second;
        const bool isUnused = entry.eligibility.use_count() == 1;
        return isUnused
               && (!entry.eligibility->hasOwnKnowledge(now) || now - entry.lastUsedAt > retention);
    });
}

} // namespace Sapphireladder
