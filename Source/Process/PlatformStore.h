#pragma once

#include "Core/Core.h"
#include "Process/PlatformFeed.h"

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** A table of the platform that a VM follows. */
enum class RowTable : std::uint8_t {
    Routes,
    Targets,
    Count,
};

constexpr std::size_t rowTableCount = static_cast<std::size_t>(RowTable::Count);
constexpr std::array<RowTable, rowTableCount> rowTables = {RowTable::Routes, RowTable::Targets};

/** @return the dependency that the table is. */
Dependency dependencyOf(RowTable table);

/** One row of a table. */
struct SourceRow
{
    std::string key;
    /** Bytes as the platform keeps them; empty if the row was deleted. */
    std::string value;
    /** Grows with each change of any row. */
    std::uint64_t version = 0;
    bool isDeleted = false;

    friend bool operator==(const SourceRow &, const SourceRow &) = default;
};

/** Rows that one call brought. */
struct SourceRows
{
    std::vector<SourceRow> rows;
    /** Newest version when the call was answered: nothing older is missing. */
    std::uint64_t position = 0;
    /** More rows follow. */
    bool isTruncated = false;
};

/** One VM, as it lists itself. */
struct FleetMember
{
    VmId vm;
    ZoneName zone;
    /** Where other VMs ask it for changes. */
    Endpoint relayEndpoint;

    friend bool operator==(const FleetMember &, const FleetMember &) = default;
};

/** Calls to the platform's store. Handlers are called on the control thread. */
class PlatformStore
{
public:
    using RowsHandler = std::function<void(Result<SourceRows> rows)>;
    using MembersHandler = std::function<void(Result<std::vector<FleetMember>> members)>;
    using WriteHandler = std::function<void(Result<> written)>;

    virtual ~PlatformStore() = default;
    /** Reads rows of a table from a key on, in the order of their keys. */
    virtual void readRows(RowTable table, std::string_view fromKey, RowsHandler handler) = 0;
    /**
     * Waits for rows that change after a position.
     * @param wait time after which an answer without rows is wanted
     */
    virtual void awaitChanges(RowTable table, std::uint64_t position, Duration wait,
                              RowsHandler handler) = 0;
    /** @return whether the error says that changes since the position are no longer known. */
    virtual bool isHistoryGone(const Error &error) const = 0;
    /** Lists a VM, in place of what it listed before. */
    virtual void writeMember(const FleetMember &member, WriteHandler handler) = 0;
    virtual void readMembers(MembersHandler handler) = 0;
    /** Closes all connections. Handlers of calls in work are not called any more. */
    virtual void closeAll() = 0;
};

/** Decodes rows of the platform. */
class RowTranslator
{
public:
    virtual ~RowTranslator() = default;
    /** The table holds just these rows. */
    virtual void translateAll(RowTable table, std::span<const SourceRow> rows,
                              PlatformFeed &feed) const = 0;
    /** These rows changed. */
    virtual void translateChanges(RowTable table, std::span<const SourceRow> rows,
                                  PlatformFeed &feed) const = 0;
};

} // namespace Sapphireladder
