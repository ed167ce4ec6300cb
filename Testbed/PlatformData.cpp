#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

const PlatformRow *PlatformData::find(const std::string &table, const std::string &key)
{
    const auto &rows = m_tables[table];
    const auto it = rows.find(key);
    return it == rows.end() ? nullptr : &it->second;
}

std::optional<PlatformRow> PlatformData::readRow(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto *row = find(table, key);
    return row ? std::optional(*row) : std::nullopt;
}

std::optional<unsigned> PlatformData::preconditionErrorStatus(const PlatformRow *row,
                                                              const WriteCondition &condition) const
{
    constexpr unsigned preconditionFailed = 412;
    if (condition.mustNotExist && row)
        return preconditionFailed;
    if (!condition.tag.empty() && (!row || row->tag != condition.tag))
        return preconditionFailed;
    return std::nullopt;
}

WriteResult PlatformData::putRow(const std::string &table, const std::string &key,
                                 std::string_view value, const WriteCondition &condition)
{
    const std::lock_guard lock(m_mutex);
    if (const auto status = preconditionErrorStatus(find(table, key), condition))
        return {*status, {}};
    auto tag = "\"" + std::to_string(m_nextTag++) + "\"";
    m_tables[table][key] = {key, std::string(value), tag};
    m_changed.notify_all();
    return {200, std::move(tag)};
}

WriteResult PlatformData::removeRow(const std::string &table, const std::string &key,
                                    const WriteCondition &condition)
{
    const std::lock_guard lock(m_mutex);
    const auto *row = find(table, key);
    if (const auto status = preconditionErrorStatus(row, condition))
        return {*status, {}};
    if (!row)
        return {404, {}};
    auto tag = row->tag;
    m_tables[table].erase(key);
    m_changed.notify_all();
    return {200, std::move(tag)};
}

std::vector<PlatformRow> PlatformData::listRows(const std::string &table, const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    const auto &rows = m_tables[table];
    std::vector<PlatformRow> list;
    for (auto it = rows.lower_bound(prefix); it != rows.end() && it->first.starts_with(prefix);
         ++it)
        list.push_back(it->second);
    return list;
}

void PlatformData::waitForChange(const std::string &table, const std::string &key,
                                 const std::optional<PlatformRow> &read, Duration duration)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, duration, [&] {
        const auto *row = find(table, key);
        const bool isUnchanged = row ? read && read->tag == row->tag : !read;
        return m_stopped || !isUnchanged;
    });
}

std::optional<std::string> PlatformData::readObject(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_objects.find(name);
    return it == m_objects.end() ? std::nullopt : std::optional(it->second);
}

void PlatformData::putObject(const std::string &name, std::string_view content)
{
    const std::lock_guard lock(m_mutex);
    m_objects[name] = content;
}

std::string PlatformData::vmList(Duration lag)
{
    const std::lock_guard lock(m_mutex);
    const auto latestTime = m_clock.now() - lag;
    std::string text = "[]";
    for (const auto &it : m_vmLists) {
        if (it.time <= latestTime)
            text = it.text;
    }
    return text;
}

void PlatformData::setVmList(std::string_view list)
{
    const std::lock_guard lock(m_mutex);
    m_vmLists.push_back({m_clock.now(), std::string(list)});
}

void PlatformData::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
    }
    m_changed.notify_all();
}

} // namespace Sapphireladder::Testbed
