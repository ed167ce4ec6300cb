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
    ExitCode gateway(Words words);
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
