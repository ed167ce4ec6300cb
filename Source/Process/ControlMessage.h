#pragma once

#include "Process/PeerMessages.h"
#include "Process/PresetSwitcher.h"
#include "Version/Version.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Sapphireladder {

/** Time has passed. */
struct Tick
{};

/** A read of the row in force has ended. */
struct InForceRead
{
    Result<InForceRow> row;
};

/** A read of a preset's text has ended. */
struct PresetRead
{
    ActivePreset inForce;
    Result<std::shared_ptr<const PresetSnapshot>> snapshot;
    /** The text that the snapshot was read from, kept for peers. */
    std::shared_ptr<const std::string> text;
};

/** An operator asks for a switch. */
struct SwitchCommand
{
    SwitchRequest request;
    /** Called once with the end, from any thread. */
    std::function<void(const SwitchResult &)> reply;
};

/** A switch that this VM ran has ended. */
struct SwitchFinished
{
    SwitchResult result;
};

/** A peer sent a digest, or answered one. */
struct DigestHeard
{
    Digest digest;
    /** Sends this VM's digest; empty if the peer has answered one of ours. */
    std::function<void(const Digest &)> reply;
};

/** A peer tells of a switch that it ran. */
struct PresetPushed
{
    ActivePreset inForce;
    /** Where the peer answers requests for the text. */
    Endpoint from;
    /** Sends the version that this VM applies. */
    std::function<void(PresetVersion)> reply;
};

/** A peer asks for a preset's text. */
struct PresetAsked
{
    ContentDigest digest;
    /** Sends the text, or null if this VM does not have it. */
    std::function<void(const std::shared_ptr<const std::string> &)> reply;
};

/** A read of one shard of heartbeat rows has ended. */
struct MembersRead
{
    Result<std::vector<Member>> members;
};

/** A write of this VM's heartbeat row has ended. */
struct HeartbeatWritten
{
    WriteStatus status = WriteStatus::Unknown;
};

/** A read of the platform's VM list has ended. */
struct VmListRead
{
    Result<std::vector<VmListEntry>> entries;
};

/** The process is asked to stop. */
struct StopRequested
{};

/** Everything that the control thread is told. */
using ControlMessage = std::variant<Tick, InForceRead, PresetRead, SwitchCommand, SwitchFinished,
                                    StopRequested, DigestHeard, PresetPushed, PresetAsked,
                                    MembersRead, HeartbeatWritten, VmListRead>;

} // namespace Sapphireladder
