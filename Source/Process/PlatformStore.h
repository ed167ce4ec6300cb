#pragma once

#include "Core/Core.h"
#include "Process/PlatformFeed.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder {

/** Table in the platform's store that a VM follows. */
enum class RowTable : std::uint8_t {
    Routes,
    Targets,
    Count,
};

constexpr std::size_t rowTableCount = static_cast<std::size_t>(RowTable::Count);
constexpr std::array<RowTable, rowTableCount> rowTables = {RowTable::Routes, RowTable::Targets};

/** @return the dependency that provides the table. */
Dependency dependencyOf(RowTable table);

/**
 * A point in the history of the store. The store's revisions go back when it returns from an older
 * copy; its era rises by one with each such return. Positions of a later era are later ones.
 */
struct StorePosition
{
    StorePosition() = default;
    StorePosition(std::uint64_t revision, std::uint64_t storeEra = 0)
        : era(storeEra)
        , version(revision)
    {}

    std::uint64_t era = 0;
    /** Revision of the store in the era. */
    std::uint64_t version = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): false positive, the operator compares with 0
    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;
};

/** One row of a table. */
struct SourceRow
{
    std::string key;
    /** Encoded value as the platform stores it; empty if the row was deleted. */
    std::string value;
    /** Store-wide revision of the row's last change, in the era of the table. */
    std::uint64_t version = 0;
    bool isDeleted = false;

    friend bool operator==(const SourceRow &, const SourceRow &) = default;
};

/** Rows returned by one call. */
struct SourceRows
{
    std::vector<SourceRow> rows;
    /** Position that the response reflects: no change of its era up to it is missing. */
    StorePosition position;
    /** More rows follow in the next page. */
    bool isTruncated = false;
    /** Steady clock of the store when it made the response, if stated. */
    std::optional<Duration> storeTime = std::nullopt;
};

/** Smallest hashes of the ids of a set of VMs; see VmSketch. */
using VmHashes = std::vector<std::uint32_t>;

/** A VM that can relay changes to others: its entry in the fleet list, which that VM writes. */
struct FleetMember
{
    VmId vm;
    ZoneName zone;
    /** Where other VMs request relayed changes. */
    Endpoint relayEndpoint;
    /** Processor cores of the VM; a fraction if it has a share of one. 0 if unknown. */
    double cores = 0;
    /** Sketch of the VMs that it relays changes to; absent until it has counted them. */
    std::optional<VmHashes> clients;

    friend bool operator==(const FleetMember &, const FleetMember &) = default;
};

/** The VMs that can relay changes. Most VMs of a large fleet are not listed. */
struct FleetList
{
    std::vector<FleetMember> members;
    /** Position that the list reflects. */
    StorePosition position;
};

/** Calls to the platform's store. Handlers are called on the control thread. */
class PlatformStore
{
public:
    using RowsHandler = std::function<void(Result<SourceRows> rows)>;
    using MembersHandler = std::function<void(Result<FleetList> list)>;
    using WriteHandler = std::function<void(Result<> written)>;

    /** Time after the wait of a long poll after which its response counts as lost. */
    static constexpr Duration responseTimeout = std::chrono::milliseconds(800);

    virtual ~PlatformStore() = default;
    /** Reads rows of a table in key order, starting at a key. */
    virtual void readRows(RowTable table, std::string_view fromKey, RowsHandler handler) = 0;
    /**
     * Long-polls for rows that changed after a position.
     * @param wait time after which the store responds without rows
     */
    virtual void awaitChanges(RowTable table, std::uint64_t position, Duration wait,
                              RowsHandler handler) = 0;
    /** @return whether the error means that the store discarded changes since the position. */
    virtual bool isHistoryGone(const Error &error) const = 0;
    /** Writes or replaces a VM's entry in the fleet list. */
    virtual void writeMember(const FleetMember &member, WriteHandler handler) = 0;
    virtual void readMembers(MembersHandler handler) = 0;
    /** Closes all connections. Handlers of pending calls are not called any more. */
    virtual void closeAll() = 0;
};

/** Decodes the platform's rows and passes them to a feed. */
class RowTranslator
{
public:
    virtual ~RowTranslator() = default;
    /** Translates the complete content of a table. */
    virtual void translateAll(RowTable table, std::span<const SourceRow> rows,
                              PlatformFeed &feed) const = 0;
    /** Translates changed rows. */
    virtual void translateChanges(RowTable table, std::span<const SourceRow> rows,
                                  PlatformFeed &feed) const = 0;
};

} // namespace Sapphireladder
