#pragma once

#include "Process/PresetSwitcher.h"
#include "Version/Version.h"

#include <functional>
#include <memory>
#include <variant>

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
    InForce inForce;
    Result<std::shared_ptr<const PresetSnapshot>> snapshot;
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

/** The process is asked to stop. */
struct StopRequested
{};

/** Everything that the control thread is told. */
using ControlMessage =
        std::variant<Tick, InForceRead, PresetRead, SwitchCommand, SwitchFinished, StopRequested>;

} // namespace Sapphireladder
