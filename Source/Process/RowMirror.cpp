#include "Process/Process.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Sapphireladder {

Dependency dependencyOf(RowTable table)
{
    return table == RowTable::Routes ? Dependency::RouteSource : Dependency::TargetRegistry;
}

RowMirror::RowMirror(const RowTranslator &translator, PlatformFeed &feed)
    : m_translator(translator)
    , m_feed(feed)
{}

void RowMirror::updateOrigin(RowTable table, const TableOrigin &origin)
{
    auto &known = stateOf(table).origin;
    if (origin.completeUntil < known.completeUntil)
        return;
    known = origin;
    m_feed.tableUpdated(dependencyOf(table), origin);
}

void RowMirror::beginEra(TableState &table, std::span<const SourceRow> rows)
{
    auto previous = std::exchange(table.rows, {});
    for (auto &[key, row] : previous) {
        if (!row.isDeleted)
            table.retained.insert_or_assign(key, std::move(row));
    }
    for (const auto &it : rows)
        table.retained.erase(it.key);
    table.retainedUntil.reset();
    table.tombstones = 0;
    // The sources of an earlier era have no changes that lead to this one.
    table.isKnown = false;
    table.hasChangedEra = true;
}

bool RowMirror::hasChangedEra() const
{
    return std::any_of(m_tables.begin(), m_tables.end(),
                       [](const auto &it) { return it.hasChangedEra; });
}

bool RowMirror::expireRetained(TimePoint now)
{
    bool isRetaining = false;
    for (const auto table : rowTables) {
        auto &local = stateOf(table);
        if (local.retained.empty())
            continue;
        if (!local.retainedUntil)
            local.retainedUntil = now + retentionTime;
        if (now < *local.retainedUntil) {
            isRetaining = true;
            continue;
        }
        std::vector<SourceRow> expired;
        for (const auto &[key, row] : std::exchange(local.retained, {}))
            expired.push_back({key, {}, local.position.version, true});
        m_translator.translateChanges(table, expired, m_feed);
        m_feed.changesComplete();
    }
    return isRetaining;
}

void RowMirror::replaceAll(RowTable table, std::span<const SourceRow> rows,
                           const StorePosition &position, const TableOrigin &origin)
{
    auto &local = stateOf(table);
    // A peer may have relayed newer changes while the read was in flight.
    if (local.isKnown && position < local.position)
        return;
    if (local.isKnown && position.era > local.position.era)
        beginEra(local, rows);
    std::set<std::string_view> present;
    for (const auto &it : rows) {
        present.insert(it.key);
        storeIfNewer(local, it);
    }
    for (auto &[key, row] : local.rows) {
        if (!row.isDeleted && row.version <= position.version && !present.contains(key)) {
            row = {key, {}, position.version, true};
            ++local.tombstones;
        }
    }
    local.position = std::max(local.position, position);
    // Rows deleted before the first read are unknown.
    if (!local.isKnown)
        local.completeSince = position.version;
    local.isKnown = true;
    m_feed.dependencyResponded(dependencyOf(table));
    updateOrigin(table, origin);
    m_translator.translateAll(table, rowsInForce(table), m_feed);
    m_feed.changesComplete();
    if (m_changeHandler)
        m_changeHandler();
}

bool RowMirror::apply(RowTable table, std::span<const SourceRow> rows,
                      const StorePosition &position, const TableOrigin &origin)
{
    auto &local = stateOf(table);
    if (position.era != local.position.era)
        return false;
    std::vector<SourceRow> newer;
    for (const auto &it : rows) {
        if (storeIfNewer(local, it))
            newer.push_back(it);
    }
    local.position = std::max(local.position, position);
    discardOldTombstones(local);
    m_feed.dependencyResponded(dependencyOf(table));
    updateOrigin(table, origin);
    if (newer.empty())
        return false;
    m_translator.translateChanges(table, newer, m_feed);
    m_feed.changesComplete();
    if (m_changeHandler)
        m_changeHandler();
    return true;
}

bool RowMirror::storeIfNewer(TableState &table, const SourceRow &row)
{
    table.retained.erase(row.key);
    auto &known = table.rows[row.key];
    if (known.version >= row.version && !known.key.empty())
        return false;
    if (known.isDeleted)
        --table.tombstones;
    known = row;
    if (row.isDeleted)
        ++table.tombstones;
    return true;
}

void RowMirror::discardOldTombstones(TableState &table)
{
    if (table.tombstones <= maxTombstones)
        return;
    std::vector<std::uint64_t> versions;
    for (const auto &[key, row] : table.rows) {
        if (row.isDeleted)
            versions.push_back(row.version);
    }
    const auto last = versions.begin()
                      + static_cast<std::ptrdiff_t>(versions.size() - maxTombstones - 1);
    std::nth_element(versions.begin(), last, versions.end());
    table.completeSince = std::max(table.completeSince, *last);
    table.tombstones -= std::erase_if(table.rows, [&](const auto &it) {
        return it.second.isDeleted && it.second.version <= *last;
    });
}

std::vector<SourceRow> RowMirror::allRows(RowTable table) const
{
    std::vector<SourceRow> rows;
    for (const auto &[key, row] : stateOf(table).rows) {
        if (!row.isDeleted)
            rows.push_back(row);
    }
    return rows;
}

std::vector<SourceRow> RowMirror::rowsInForce(RowTable table) const
{
    auto rows = allRows(table);
    for (const auto &[key, row] : stateOf(table).retained)
        rows.push_back(row);
    return rows;
}

std::optional<std::vector<SourceRow>> RowMirror::changesSince(RowTable table,
                                                              const StorePosition &position) const
{
    const auto &local = stateOf(table);
    if (!local.isKnown || position.era != local.position.era
        || position.version < local.completeSince)
        return std::nullopt;
    std::vector<SourceRow> rows;
    for (const auto &[key, row] : local.rows) {
        if (row.version > position.version)
            rows.push_back(row);
    }
    std::sort(rows.begin(), rows.end(),
              [](const auto &a, const auto &b) { return a.version < b.version; });
    return rows;
}

} // namespace Sapphireladder
