#include "Main/CommandLine.h"

#include "Main/AdminClient.h"
#include "Main/Arguments.h"
#include "Main/GatewayProcess.h"
#include "Main/StopSignals.h"
#include "Main/VmProcess.h"
#include "Process/Yaml/ProcessYaml.h"

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>

#include <unistd.h>

namespace Sapphireladder {

namespace {

std::optional<Settings> loadSettings(const std::string &file)
{
    YamlErrors errors(file);
    const auto text = readTextFile(file);
    if (!text) {
        std::cerr << text.error().toString() << '\n';
        return std::nullopt;
    }
    auto settings = readSettings(text.value(), errors);
    for (const auto &it : errors.list())
        std::cerr << it.toString() << '\n';
    return settings;
}

/** @param errorStream receives each error found */
std::optional<GatewaySettings> loadGatewaySettings(const std::string &file,
                                                   std::ostream &errorStream)
{
    YamlErrors errors(file);
    const auto text = readTextFile(file);
    if (!text) {
        errorStream << text.error().toString() << '\n';
        return std::nullopt;
    }
    auto settings = readGatewaySettings(text.value(), errors);
    for (const auto &it : errors.list())
        errorStream << it.toString() << '\n';
    return settings;
}

bool checkPresetFile(const std::string &file)
{
    YamlErrors errors(file);
    const auto text = readTextFile(file);
    if (!text) {
        std::cerr << text.error().toString() << '\n';
        return false;
    }
    const auto preset = readPreset(text.value(), errors);
    for (const auto &it : errors.list())
        std::cerr << it.toString() << '\n';
    return preset.has_value();
}

cxxopts::Options adminOptions(const std::string &command, const std::string &help)
{
    cxxopts::Options options("sapphireladder " + command, help);
    options.add_options()("admin", "address of a VM's admin endpoint",
                          cxxopts::value<std::string>()->default_value("127.0.0.1:9000"));
    return options;
}

/** Sends a request to the VM named on the command line and prints the response. */
ExitCode printAdminResponse(const Arguments &arguments, const AdminRequest &request)
{
    const auto endpoint = Endpoint::parse(arguments.text("admin"));
    if (!endpoint) {
        std::cerr << endpoint.error().toString() << '\n';
        return ExitCode::Usage;
    }
    const auto response = callAdmin(endpoint.value(), request);
    if (!response) {
        std::cerr << response.error().toString() << '\n';
        return ExitCode::Unavailable;
    }
    const bool isSuccess = response.value().status < 300;
    (isSuccess ? std::cout : std::cerr) << response.value().body << '\n';
    return isSuccess ? ExitCode::Success : ExitCode::Refused;
}

ExitCode exitCodeOf(std::string_view status)
{
    struct Row
    {
        std::string_view status;
        ExitCode code;
    };
    static constexpr Row rows[] = {
            {"accepted", ExitCode::Success},
            {"conflict", ExitCode::Conflict},
            {"refused", ExitCode::Refused},
    };
    for (const auto &it : rows) {
        if (it.status == status)
            return it.code;
    }
    return ExitCode::Unknown;
}

} // namespace

const CommandLine::CommandRow CommandLine::commands[] = {
        {"serve", &CommandLine::serve, "run a VM's process"},
        {"gateway", &CommandLine::gateway, "run a VM's process on an operator's platform"},
        {"check", &CommandLine::check, "check settings and preset files"},
        {"preset", &CommandLine::preset, "list, show, store and switch presets"},
        {"status", &CommandLine::status, "print a VM's status"},
};

const CommandLine::CommandRow CommandLine::presetCommands[] = {
        {"list", &CommandLine::presetList, "print the names of the stored presets"},
        {"show", &CommandLine::presetShow, "print a stored preset"},
        {"put", &CommandLine::presetPut, "check and store a preset"},
        {"switch", &CommandLine::presetSwitch, "put a stored preset in force"},
        {"current", &CommandLine::presetCurrent, "print which preset is in force"},
};

ExitCode CommandLine::run(std::span<const std::string> arguments)
{
    return dispatch(commands, "sapphireladder", arguments);
}

ExitCode CommandLine::dispatch(std::span<const CommandRow> rows, std::string_view program,
                               RawArguments rawArguments)
{
    for (const auto &it : rows) {
        if (!rawArguments.empty() && rawArguments.front() == it.name)
            return (this->*it.command)(rawArguments.subspan(1));
    }
    const bool isHelpRequested = !rawArguments.empty()
                                 && (rawArguments.front() == "--help"
                                     || rawArguments.front() == "-h");
    auto &out = isHelpRequested ? std::cout : std::cerr;
    out << "usage: " << program << " COMMAND [OPTIONS]\n";
    for (const auto &it : rows)
        out << "  " << it.name << "  " << it.help << '\n';
    return isHelpRequested ? ExitCode::Success : ExitCode::Usage;
}

ExitCode CommandLine::serve(RawArguments rawArguments)
{
    blockStopSignals();
    cxxopts::Options options("sapphireladder serve", "Runs a VM's process until SIGTERM.");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>());
    const auto arguments = Arguments::parse(std::move(options), rawArguments);
    if (!arguments)
        return arguments.error();
    const auto settings = loadSettings(arguments.value().text("settings"));
    if (!settings)
        return ExitCode::Usage;
    EventLog::initialize("sapphireladder");
    EventLog events;
    auto process = VmProcess::create(*settings, events);
    if (!process) {
        std::cerr << process.error().toString() << '\n';
        return ExitCode::Unavailable;
    }
    waitForStopSignal();
    process.value()->stop();
    return ExitCode::Success;
}

ExitCode CommandLine::gateway(RawArguments rawArguments)
{
    // The platform may send it at any time, and the settings are read below.
    deferHangUp();
    cxxopts::Options options("sapphireladder gateway", "Runs a VM's process until SIGTERM.");
    options.add_options()("settings",
                          "settings file; defaults to the environment variable "
                          "SAPPHIRELADDER_SETTINGS",
                          cxxopts::value<std::string>());
    const auto arguments = Arguments::parse(std::move(options), rawArguments);
    if (!arguments)
        return arguments.error();
    auto file = arguments.value().text("settings");
    const char *variable = std::getenv("SAPPHIRELADDER_SETTINGS");
    if (file.empty() && variable)
        file = variable;
    const auto settings = loadGatewaySettings(file, std::cerr);
    if (!settings)
        return ExitCode::Usage;
    const SteadyClock clock;
    StructuredLog log(STDOUT_FILENO, {}, clock);
    GatewayProcess process(
            *settings, [file] { return loadGatewaySettings(file, std::cerr); }, log);
    if (const auto ended = process.run(); !ended) {
        std::cerr << ended.error().toString() << '\n';
        return ExitCode::Unavailable;
    }
    return ExitCode::Success;
}

ExitCode CommandLine::check(RawArguments rawArguments)
{
    cxxopts::Options options("sapphireladder check",
                             "Checks settings and preset files and prints each error.");
    options.add_options()("settings", "settings file", cxxopts::value<std::string>());
    options.add_options()("preset", "preset file", cxxopts::value<std::string>());
    const auto arguments = Arguments::parse(std::move(options), rawArguments);
    if (!arguments)
        return arguments.error();
    const auto settingsFile = arguments.value().text("settings");
    const auto presetFile = arguments.value().text("preset");
    if (settingsFile.empty() && presetFile.empty()) {
        std::cerr << "nothing to check: give --settings or --preset\n";
        return ExitCode::Usage;
    }
    bool isValid = true;
    if (!settingsFile.empty())
        isValid = loadSettings(settingsFile).has_value() && isValid;
    if (!presetFile.empty())
        isValid = checkPresetFile(presetFile) && isValid;
    if (isValid)
        std::cout << "ok\n";
    return isValid ? ExitCode::Success : ExitCode::Usage;
}

ExitCode CommandLine::status(RawArguments rawArguments)
{
    const auto arguments = Arguments::parse(adminOptions("status", "Prints a VM's status."),
                                            rawArguments);
    if (!arguments)
        return arguments.error();
    return printAdminResponse(arguments.value(), {"GET", "/status", {}});
}

ExitCode CommandLine::preset(RawArguments rawArguments)
{
    return dispatch(presetCommands, "sapphireladder preset", rawArguments);
}

ExitCode CommandLine::presetList(RawArguments rawArguments)
{
    const auto arguments = Arguments::parse(
            adminOptions("preset list", "Prints the stored presets."), rawArguments);
    if (!arguments)
        return arguments.error();
    return printAdminResponse(arguments.value(), {"GET", "/presets", {}});
}

ExitCode CommandLine::presetShow(RawArguments rawArguments)
{
    auto options = adminOptions("preset show", "Prints a stored preset.");
    options.add_options()("name", "name of the preset", cxxopts::value<std::string>());
    options.parse_positional("name");
    const auto arguments = Arguments::parse(std::move(options), rawArguments);
    if (!arguments)
        return arguments.error();
    return printAdminResponse(arguments.value(),
                              {"GET", "/presets/" + arguments.value().text("name"), {}});
}

ExitCode CommandLine::presetPut(RawArguments rawArguments)
{
    auto options = adminOptions("preset put", "Checks and stores a preset.");
    options.add_options()("file", "preset file", cxxopts::value<std::string>());
    options.parse_positional("file");
    const auto arguments = Arguments::parse(std::move(options), rawArguments);
    if (!arguments)
        return arguments.error();
    const auto file = arguments.value().text("file");
    const auto text = readTextFile(file);
    YamlErrors errors(file);
    const auto preset = text ? readPreset(text.value(), errors) : std::nullopt;
    if (!preset) {
        checkPresetFile(file);
        return ExitCode::Usage;
    }
    return printAdminResponse(arguments.value(),
                              {"PUT", "/presets/" + preset->name.string(), text.value()});
}

ExitCode CommandLine::presetSwitch(RawArguments rawArguments)
{
    auto options = adminOptions("preset switch", "Puts a stored preset in force.");
    options.add_options()("name", "name of the preset", cxxopts::value<std::string>());
    options.add_options()("operation",
                          "operation id; repeating an operation with the same id is safe",
                          cxxopts::value<std::string>());
    options.add_options()("author", "name of the person who makes the switch",
                          cxxopts::value<std::string>());
    options.add_options()("expect", "version that must currently be in force; 0 for any",
                          cxxopts::value<std::uint64_t>()->default_value("0"));
    options.parse_positional("name");
    const auto arguments = Arguments::parse(std::move(options), rawArguments);
    if (!arguments)
        return arguments.error();
    auto operation = arguments.value().text("operation");
    if (operation.empty())
        operation = RandomSource::fromSystem().hexDigits();
    const nlohmann::json request = {{"preset", arguments.value().text("name")},
                                    {"operation", operation},
                                    {"author", arguments.value().text("author")},
                                    {"expected_version", arguments.value().number("expect")}};
    const auto endpoint = Endpoint::parse(arguments.value().text("admin"));
    if (!endpoint) {
        std::cerr << endpoint.error().toString() << '\n';
        return ExitCode::Usage;
    }
    const auto text = request.dump();
    const auto response = callAdmin(endpoint.value(), {"POST", "/preset/in-force", text});
    if (!response) {
        std::cerr << response.error().toString()
                  << "\noutcome of the switch unknown; retry with --operation " << operation
                  << '\n';
        return ExitCode::Unknown;
    }
    std::cout << response.value().body << '\n';
    const auto object = nlohmann::json::parse(response.value().body, nullptr, false);
    if (response.value().status >= 400 || !object.is_object())
        return ExitCode::Refused;
    return exitCodeOf(object.value("status", ""));
}

ExitCode CommandLine::presetCurrent(RawArguments rawArguments)
{
    const auto arguments = Arguments::parse(
            adminOptions("preset current", "Prints which preset is in force."), rawArguments);
    if (!arguments)
        return arguments.error();
    return printAdminResponse(arguments.value(), {"GET", "/preset/in-force", {}});
}

} // namespace Sapphireladder
