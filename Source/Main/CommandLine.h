#pragma once

#include "Core/Core.h"

#include <span>
#include <string>
#include <vector>

namespace Sapphireladder {

/** Exit codes of the program. */
enum class ExitCode {
    Success = 0,
    /** A file or an argument is wrong. */
    Usage = 2,
    /** An address cannot be listened on, or a VM cannot be reached. */
    Unavailable = 3,
    /** A switch lost a race against another. */
    Conflict = 4,
    /** A switch was refused; nothing changed. */
    Refused = 5,
    /** The fate of a switch is not known; repeat the operation. */
    Unknown = 6,
};

/** The program's command line. */
class CommandLine
{
public:
    /** @param arguments words after the program's name @return the exit code. */
    ExitCode run(std::span<const std::string> arguments);

private:
    using Words = std::span<const std::string>;
    using Command = ExitCode (CommandLine::*)(Words words);
    struct CommandRow
    {
        std::string_view name;
        Command command;
        std::string_view help;
    };
    static const CommandRow commands[];
    static const CommandRow presetCommands[];

    ExitCode dispatch(std::span<const CommandRow> rows, std::string_view program, Words words);

    ExitCode serve(Words words);
    ExitCode check(Words words);
    ExitCode status(Words words);
    ExitCode preset(Words words);
    ExitCode presetList(Words words);
    ExitCode presetShow(Words words);
    ExitCode presetPut(Words words);
    ExitCode presetSwitch(Words words);
    ExitCode presetCurrent(Words words);
};

} // namespace Sapphireladder
