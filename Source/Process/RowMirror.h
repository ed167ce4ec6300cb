#pragma once

#include "Process/PlatformStore.h"

#include <array>
#include <functional>
#include <map>
#include <optional>

namespace Sapphireladder {

/**
 * What this VM knows of the followed tables, from the store or from other VMs. A row is only ever
 * replaced by a newer one, so that the sources may lag behind one another. Used by the control
 * thread only.
 */
class RowMirror
{
public:
    /** Deleted rows that are remembered for each table, so that peers hear of them. */
    static constexpr std::size_t maxTombstones = 2000;

    /** The references outlive the mirror. */
    RowMirror(const RowTranslator &translator, PlatformFeed &feed);

    /** A table was read as a whole. */
    void replaceAll(RowTable table, std::span<const SourceRow> rows, std::uint64_t position);
    /**
     * Rows of a table changed.
     * @param position nothing older is missing in the source
     * @return whether any row was newer than what was known.
     */
    bool apply(RowTable table, std::span<const SourceRow> rows, std::uint64_t position);

    /** @return whether the table was read as a whole. */
    bool isKnown(RowTable table) const { return state(table).isKnown; }
    std::uint64_t position(RowTable table) const { return state(table).position; }
    /** @return rows that changed after the position, or nothing if that is not known any more. */
    std::optional<std::vector<SourceRow>> changesSince(RowTable table,
                                                       std::uint64_t position) const;
    /** @return all rows of a table. */
    std::vector<SourceRow> allRows(RowTable table) const;
    /** Called after rows changed. */
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

private:
    struct TableState
    {
        std::map<std::string, SourceRow> rows;
        std::size_t tombstones = 0;
        std::uint64_t position = 0;
        /** Changes after this position are known. */
        std::uint64_t base = 0;
        bool isKnown = false;
    };

    TableState &state(RowTable table) { return m_tables[static_cast<std::size_t>(table)]; }
    const TableState &state(RowTable table) const
    {
        return m_tables[static_cast<std::size_t>(table)];
    }
    bool store(TableState &table, const SourceRow &row);
    void forgetTombstones(TableState &table);

    const RowTranslator &m_translator;
    PlatformFeed &m_feed;
    std::array<TableState, rowTableCount> m_tables;
    std::function<void()> m_changeHandler;
};

} // namespace Sapphireladder
