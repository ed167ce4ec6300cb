#include "Process/Process.h"

#include <set>

namespace Sapphireladder {

void TargetDirectory::replaceAll(std::span<const TargetRecord> records, TimePoint now)
{
    std::set<TargetId> present;
    for (const auto &it : records) {
        present.insert(it.id);
        put(it);
    }
    std::vector<TargetId> missing;
    for (const auto &[id, entry] : m_entries) {
        if (!present.contains(id))
            missing.push_back(id);
    }
    for (const auto &it : missing)
        remove(it, now);
}

void TargetDirectory::put(const TargetRecord &record)
{
    auto &entry = m_entries[record.id];
    const bool isSameStart = record.incarnation != 0
                             && record.incarnation == entry.record.incarnation;
    const bool isDraining = record.isDraining || (isSameStart && entry.record.isDraining);
    entry = {record, std::nullopt};
    entry.record.isDraining = isDraining;
}

void TargetDirectory::remove(const TargetId &id, TimePoint now)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return;
    if (now >= m_deferRemovalsUntil)
        m_entries.erase(it);
    else if (!it->second.removeAt)
        it->second.removeAt = m_deferRemovalsUntil;
}

bool TargetDirectory::discard(const TargetId &id)
{
    return m_entries.erase(id) > 0;
}

bool TargetDirectory::expire(TimePoint now)
{
    const auto n = std::erase_if(m_entries, [now](const auto &item) {
        return item.second.removeAt && *item.second.removeAt <= now;
    });
    return n > 0;
}

std::optional<TimePoint> TargetDirectory::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, entry] : m_entries) {
        if (entry.removeAt && (!next || *entry.removeAt < *next))
            next = entry.removeAt;
    }
    return next;
}

std::vector<TargetRecord> TargetDirectory::records() const
{
    const auto counts = countServices();
    std::vector<TargetRecord> used;
    used.reserve(m_entries.size());
    for (const auto &[id, entry] : m_entries) {
        if (!entry.removeAt || counts.at(entry.record.service).isOutageLikely())
            used.push_back(entry.record);
    }
    return used;
}

std::map<ServiceName, TargetDirectory::ServiceCount> TargetDirectory::countServices() const
{
    std::map<ServiceName, ServiceCount> counts;
    for (const auto &[id, entry] : m_entries) {
        auto &count = counts[entry.record.service];
        ++(entry.removeAt ? count.removed : count.present);
    }
    return counts;
}

} // namespace Sapphireladder
