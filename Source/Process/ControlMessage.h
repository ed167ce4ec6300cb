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

/** Periodic timer tick. */
struct Tick
{};

/** A read of the active preset's row completed. */
struct ActivePresetRead
{
    Result<ActivePresetRow> row;
};

/** A read of a preset's text completed. */
struct PresetRead
{
    ActivePreset activePreset;
    Result<std::shared_ptr<const PresetSnapshot>> snapshot;
    /** The text that the snapshot was parsed from, kept so that peers can fetch it. */
    std::shared_ptr<const std::string> text;
};

/** An operator requests a preset switch. */
struct SwitchCommand
{
    SwitchRequest request;
    /** Called once with the result, from any thread. */
    std::function<void(const SwitchResult &)> reply;
};

/** A preset switch that this VM ran completed. */
struct SwitchFinished
{
    SwitchResult result;
};

/** A peer sent a digest, or replied to one. */
struct DigestReceived
{
    Digest digest;
    /** Replies with this VM's digest. Empty if the peer's digest is itself a reply. */
    std::function<void(const Digest &)> reply;
};

/** A peer announces a preset switch that it ran. */
struct PresetPushed
{
    ActivePreset activePreset;
    /** Where the peer serves the preset's text. */
    Endpoint from;
    /** Replies with the version that this VM has applied. */
    std::function<void(PresetVersion)> reply;
};

/** A peer requests a preset's text. */
struct PresetTextRequested
{
    ContentDigest digest;
    /** Replies with the text, or null if this VM does not have it. */
    std::function<void(const std::shared_ptr<const std::string> &)> reply;
};

/** A read of one shard of heartbeat rows completed. */
struct MembersRead
{
    Result<std::vector<Member>> members;
};

/** A write of this VM's heartbeat row completed. */
struct HeartbeatWritten
{
    WriteStatus status = WriteStatus::Unknown;
};

/** A read of the platform's VM list completed. */
struct VmListRead
{
    Result<std::vector<VmListEntry>> entries;
};

/** A shutdown of the process was requested. */
struct StopRequested
{};

/** A message to the control thread. */
using ControlMessage = std::variant<Tick, ActivePresetRead, PresetRead, SwitchCommand,
                                    SwitchFinished, StopRequested, DigestReceived, PresetPushed,
                                    PresetTextRequested, MembersRead, HeartbeatWritten, VmListRead>;

} // namespace Sapphireladder
