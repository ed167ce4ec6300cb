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
 *
 * The store may return from an older copy, in a new era. A complete read of a later era replaces
 * all rows, whatever their versions; what an earlier era says is ignored from then on. Rows that
 * the older copy lacks are written again shortly, so they stay in force for a while, but are not
 * relayed.
 */
class RowMirror
{
public:
    /** Maximum deleted rows kept per table, so that deletions can be relayed to peers. */
    static constexpr std::size_t maxTombstones = 2000;
    /**
     * Time for which rows stay in force that the store lacks after its return from an older copy.
     * The operator and the targets write theirs again within about two seconds.
     */
    static constexpr Duration retentionTime = std::chrono::seconds(5);

    /** The references must outlive the mirror. */
    RowMirror(const RowTranslator &translator, PlatformFeed &feed);

    /** Replaces the content of a table after a complete read. Ignores a read of an earlier era. */
    void replaceAll(RowTable table, std::span<const SourceRow> rows, const StorePosition &position,
                    const TableOrigin &origin);
    /**
     * Applies changed rows of a table. Ignores those of another era.
     * @param position position up to which the source has all changes
     * @return whether any row was newer than the local copy.
     */
    bool apply(RowTable table, std::span<const SourceRow> rows, const StorePosition &position,
               const TableOrigin &origin);

    /** @return whether the table has been read completely. */
    bool isKnown(RowTable table) const { return stateOf(table).isKnown; }
    const StorePosition &position(RowTable table) const { return stateOf(table).position; }
    /** @return whether the store has returned from an older copy since the first read. */
    bool hasChangedEra() const;
    /**
     * Ends the retention of rows that were not written again in time; to be called regularly.
     * @return whether rows are still retained.
     */
    bool expireRetained(TimePoint now);
    /** @return the most recent source of the table. */
    const TableOrigin &origin(RowTable table) const { return stateOf(table).origin; }
    /**
     * @return rows changed after the position, or nothing if some of them were discarded or if the
     * position is of another era.
     */
    std::optional<std::vector<SourceRow>> changesSince(RowTable table,
                                                       const StorePosition &position) const;
    /** @return all rows of a table that are not deleted. */
    std::vector<SourceRow> allRows(RowTable table) const;
    /** Sets the handler that is called after rows changed. */
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

private:
    struct TableState
    {
        std::map<std::string, SourceRow> rows;
        std::size_t tombstones = 0;
        /** Rows of the previous era that are not in this one. */
        std::map<std::string, SourceRow> retained;
        /** Unset until expireRetained() was called for these rows. */
        std::optional<TimePoint> retainedUntil;
        StorePosition position;
        /** All changes after this position are known. */
        std::uint64_t completeSince = 0;
        bool isKnown = false;
        bool hasChangedEra = false;
        TableOrigin origin;
    };

    TableState &stateOf(RowTable table) { return m_tables[static_cast<std::size_t>(table)]; }
    const TableState &stateOf(RowTable table) const
    {
        return m_tables[static_cast<std::size_t>(table)];
    }
    void updateOrigin(RowTable table, const TableOrigin &origin);
    /** Makes room for the rows of a later era. @param rows rows of that era */
    void beginEra(TableState &table, std::span<const SourceRow> rows);
    bool storeIfNewer(TableState &table, const SourceRow &row);
    /** @return the rows of a table, and those retained from the previous era. */
    std::vector<SourceRow> rowsInForce(RowTable table) const;
    void discardOldTombstones(TableState &table);

    const RowTranslator &m_translator;
    PlatformFeed &m_feed;
    std::array<TableState, rowTableCount> m_tables;
    std::function<void()> m_changeHandler;
};

} // namespace Sapphireladder
