#pragma once

#include "Main/ExitCode.h"

#include <span>
#include <string>
#include <vector>

namespace Sapphireladder {

/** The program's command line. */
class CommandLine
{
public:
    /** @param arguments the arguments after the program name @return the exit code. */
    ExitCode run(std::span<const std::string> arguments);

private:
    using RawArguments = std::span<const std::string>;
    using Command = ExitCode (CommandLine::*)(RawArguments rawArguments);
    struct CommandRow
    {
        std::string_view name;
        Command command;
        std::string_view help;
    };
    static const CommandRow commands[];
    static const CommandRow presetCommands[];

    ExitCode dispatch(std::span<const CommandRow> rows, std::string_view program,
                      RawArguments rawArguments);

    ExitCode serve(RawArguments rawArguments);
    ExitCode gateway(RawArguments rawArguments);
    ExitCode check(RawArguments rawArguments);
    ExitCode status(RawArguments rawArguments);
    ExitCode preset(RawArguments rawArguments);
    ExitCode presetList(RawArguments rawArguments);
    ExitCode presetShow(RawArguments rawArguments);
    ExitCode presetPut(RawArguments rawArguments);
    ExitCode presetSwitch(RawArguments rawArguments);
    ExitCode presetCurrent(RawArguments rawArguments);
};

} // namespace Sapphireladder
