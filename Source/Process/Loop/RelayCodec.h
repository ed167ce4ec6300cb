#pragma once

#include "Process/Process.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** Positions up to which a VM knows each table; 0 if it knows nothing of it. */
using RelayPositions = std::array<std::uint64_t, rowTableCount>;

/** What a VM asks another one. */
struct RelayQuery
{
    RelayPositions positions{};
    /** An answer is wanted also if there are no changes. */
    bool isImmediate = false;

    friend bool operator==(const RelayQuery &, const RelayQuery &) = default;
};

/** What one VM tells another of the followed tables. */
struct RelayChanges
{
    struct Table
    {
        std::uint64_t position = 0;
        std::vector<SourceRow> rows;
        /** The rows are the whole table, and not its changes. */
        bool isWhole = false;
    };
    std::array<Table, rowTableCount> tables;
};

/** Path of requests for changes. */
constexpr std::string_view relayPath = "/relay/changes";

/** @return path and query of a request for the changes after the positions. */
std::string encodeRelayTarget(const RelayQuery &query);
/** @return what a request asks, or nothing if it is not a request for changes. */
std::optional<RelayQuery> decodeRelayTarget(std::string_view target);
std::string encodeRelayChanges(const RelayChanges &changes);
/** @return the changes, or ProcessError::PeerAnswerInvalid. */
Result<RelayChanges> decodeRelayChanges(std::string_view text);

} // namespace Sapphireladder
