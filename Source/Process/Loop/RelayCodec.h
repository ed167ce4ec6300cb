#pragma once

#include "Process/Process.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** The position in each table's change history up to which a VM is up to date; 0 if unread. */
using RelayPositions = std::array<StorePosition, rowTableCount>;

/** A long-poll query of one VM to another for table changes. */
struct RelayQuery
{
    /** The VM that sends the query. */
    VmId vm;
    RelayPositions positions{};
    /** Position of the fleet list that the VM knows; 0 if none. */
    StorePosition fleetPosition;
    /** Respond at once, even if there are no changes. */
    bool isImmediate = false;
    /**
     * Age of the VM's tables by what other VMs relayed. Sent in a header field, since older program
     * versions refuse a request target with unknown parameters.
     */
    std::optional<Duration> knownAge = std::nullopt;
    /** Whether the positions state their eras, in a header field for the same reason. */
    bool hasEras = false;

    friend bool operator==(const RelayQuery &, const RelayQuery &) = default;
};

/** The response to a RelayQuery: changes of the followed tables. */
struct RelayChanges
{
    struct Table
    {
        StorePosition position;
        std::vector<SourceRow> rows;
        /** Whether the rows are the whole table rather than the changes. */
        bool isFullTable = false;
    };
    std::array<Table, rowTableCount> tables;
    /** Upper estimate of the number of VMs; 0 if unknown. */
    unsigned fleetSize = 0;
    /** The fleet list, if it is newer than the one that the VM knows. */
    std::optional<FleetList> fleet;
    /** Whether the positions state their eras. Older program versions know none. */
    bool hasEras = false;
};

/**
 * For each table, until when the response's copy is complete, relative to the receipt of the query.
 * Negative if that was earlier. Independent of clocks of other VMs and of delays on the way.
 */
using RelayTimes = std::array<Duration, rowTableCount>;

/** Header field of a response with its RelayTimes. */
constexpr std::string_view relayTimesHeader = "Sapphireladder-Complete-Until-Ms";

/** Header field of a query with RelayQuery::knownAge. */
constexpr std::string_view knownAgeHeader = "Sapphireladder-Known-Age-Ms";

/** Header field of a query with the eras of its positions: routes, targets, fleet list. */
constexpr std::string_view storeErasHeader = "Sapphireladder-Table-Eras";

/** Path of the relay endpoint. */
constexpr std::string_view relayPath = "/relay/changes";

/** @return the request target (path and query string) for the query. */
std::string encodeRelayTarget(const RelayQuery &query);
/** @return the query, or nothing if the request target is not a valid relay query. */
std::optional<RelayQuery> decodeRelayTarget(std::string_view target);
/** @return the value of the header field with the eras of a query's positions. */
std::string encodeRelayEras(const RelayQuery &query);
/** Sets the eras of a query's positions from the header field. An invalid value has no effect. */
void decodeRelayEras(std::string_view value, RelayQuery &query);
/** @return the value of the header field. */
std::string encodeRelayTimes(const RelayTimes &times);
/** @return the times, or nothing if the value is not valid. */
std::optional<RelayTimes> decodeRelayTimes(std::string_view value);
/** @return the encoded changes, compressed if they are large. */
std::string encodeRelayChanges(const RelayChanges &changes);
/** @return the changes, or ProcessError::PeerMessageInvalid. */
Result<RelayChanges> decodeRelayChanges(std::string_view text);

} // namespace Sapphireladder
