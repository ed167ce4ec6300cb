#pragma once

#include "Process/Process.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** Positions up to which a VM knows each table. */
using RelayPositions = std::array<std::uint64_t, rowTableCount>;

/** What one VM tells another of the followed tables. */
struct RelayChanges
{
    struct Table
    {
        std::uint64_t position = 0;
        std::vector<SourceRow> rows;
    };
    std::array<Table, rowTableCount> tables;
};

/** Path of requests for changes. */
constexpr std::string_view relayPath = "/relay/changes";

/** @return path and query of a request for the changes after the positions. */
std::string encodeRelayTarget(const RelayPositions &positions);
/** @return the positions of a request, or nothing if it is not a request for changes. */
std::optional<RelayPositions> decodeRelayTarget(std::string_view target);
std::string encodeRelayChanges(const RelayChanges &changes);
/** @return the changes, or ProcessError::PeerAnswerInvalid. */
Result<RelayChanges> decodeRelayChanges(std::string_view text);

} // namespace Sapphireladder
