#pragma once

#include "Process/PlatformStore.h"

#include <array>
#include <functional>
#include <map>
#include <optional>

namespace Sapphireladder {

/**
 * Local copy of the followed tables, updated from the store or by other VMs. A row is only replaced
 * by a newer version of it, so the sources may lag behind each other. Used by the control thread
 * only.
 */
class RowMirror
{
public:
    /** Maximum deleted rows kept per table, so that deletions can be relayed to peers. */
    static constexpr std::size_t maxTombstones = 2000;

    /** The references must outlive the mirror. */
    RowMirror(const RowTranslator &translator, PlatformFeed &feed);

    /** Replaces the content of a table after a complete read. */
    void replaceAll(RowTable table, std::span<const SourceRow> rows, std::uint64_t position,
                    const TableOrigin &origin);
    /**
     * Applies changed rows of a table.
     * @param position position up to which the source has all changes
     * @return whether any row was newer than the local copy.
     */
    bool apply(RowTable table, std::span<const SourceRow> rows, std::uint64_t position,
               const TableOrigin &origin);

    /** @return whether the table has been read completely. */
    bool isKnown(RowTable table) const { return stateOf(table).isKnown; }
    std::uint64_t position(RowTable table) const { return stateOf(table).position; }
    /** @return the most recent source of the table. */
    const TableOrigin &origin(RowTable table) const { return stateOf(table).origin; }
    /** @return rows changed after the position, or nothing if some of them were discarded. */
    std::optional<std::vector<SourceRow>> changesSince(RowTable table,
                                                       std::uint64_t position) const;
    /** @return all rows of a table that are not deleted. */
    std::vector<SourceRow> allRows(RowTable table) const;
    /** Sets the handler that is called after rows changed. */
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

private:
    struct TableState
    {
        std::map<std::string, SourceRow> rows;
        std::size_t tombstones = 0;
        std::uint64_t position = 0;
        /** All changes after this position are known. */
        std::uint64_t completeSince = 0;
        bool isKnown = false;
        TableOrigin origin;
    };

    TableState &stateOf(RowTable table) { return m_tables[static_cast<std::size_t>(table)]; }
    const TableState &stateOf(RowTable table) const
    {
        return m_tables[static_cast<std::size_t>(table)];
    }
    void updateOrigin(RowTable table, const TableOrigin &origin);
    bool storeIfNewer(TableState &table, const SourceRow &row);
    void discardOldTombstones(TableState &table);

    const RowTranslator &m_translator;
    PlatformFeed &m_feed;
    std::array<TableState, rowTableCount> m_tables;
    std::function<void()> m_changeHandler;
};

} // namespace Sapphireladder
