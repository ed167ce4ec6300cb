#include "Main/StopSignals.h"
#include "Testbed/Testbed.h"

#include <cxxopts.hpp>

#include <algorithm>
#include <iostream>

namespace {

using namespace Sapphireladder;

/** @return the arguments with hyphens in option names replaced by underscores, as in JSON. */
std::vector<std::string> withUnderscores(std::span<const char *const> arguments)
{
    std::vector<std::string> result(arguments.begin(), arguments.end());
    for (auto &it : result) {
        if (!it.starts_with("--"))
            continue;
        const auto nameEnd = it.begin() + static_cast<long>(std::min(it.find('='), it.size()));
        std::replace(it.begin() + 2, nameEnd, '-', '_');
    }
    return result;
}

/** Adds a command-line option for each field. */
template<typename Object>
void addFieldOptions(cxxopts::Options &options, std::span<const Testbed::Field<Object>> fields)
{
    for (const auto &it : fields) {
        options.add_options()(std::string(it.name), std::string(it.help),
                              cxxopts::value<std::string>());
    }
}

cxxopts::ParseResult parseArguments(cxxopts::Options &options,
                                    std::span<const char *const> arguments)
{
    const auto texts = withUnderscores(arguments);
    std::vector<const char *> pointers;
    pointers.reserve(texts.size());
    for (const auto &it : texts)
        pointers.push_back(it.c_str());
    return options.parse(static_cast<int>(pointers.size()), pointers.data());
}

/** Sets the fields that are given on the command line. */
template<typename Object>
Result<> readFields(Object &object, std::span<const Testbed::Field<Object>> fields,
                    const cxxopts::ParseResult &parsed)
{
    for (const auto &it : fields) {
        const std::string name(it.name);
        if (parsed.count(name) == 0)
            continue;
        TRY(Testbed::setField(object, fields, name, parsed[name].as<std::string>()));
    }
    return success();
}

Result<> runTargetCommand(std::span<const char *const> arguments)
{
    cxxopts::Options options("sapphireladder-testbed target", "Runs a fake target.");
    options.add_options()("endpoint", "address to listen on", cxxopts::value<std::string>());
    options.add_options()("name", "name in the bodies of responses",
                          cxxopts::value<std::string>()->default_value("target"));
    addFieldOptions(options, Testbed::targetFields());
    const auto parsed = parseArguments(options, arguments);
    Testbed::TargetOptions target;
    TRY_ASSIGN(endpoint, Endpoint::parse(parsed["endpoint"].as<std::string>()));
    target.endpoint = endpoint;
    target.name = parsed["name"].as<std::string>();
    TRY(readFields(target.behaviour, Testbed::targetFields(), parsed));
    const Testbed::FakeTarget server(target);
    waitForStopSignal();
    return success();
}

Result<> runPlatformCommand(std::span<const char *const> arguments)
{
    cxxopts::Options options("sapphireladder-testbed platform", "Runs a fake platform.");
    options.add_options()("endpoint", "address to listen on", cxxopts::value<std::string>());
    addFieldOptions(options, Testbed::platformFields());
    const auto parsed = parseArguments(options, arguments);
    TRY_ASSIGN(endpoint, Endpoint::parse(parsed["endpoint"].as<std::string>()));
    Testbed::PlatformFaults faults;
    TRY(readFields(faults, Testbed::platformFields(), parsed));
    const Testbed::FakePlatform server(endpoint, faults);
    waitForStopSignal();
    return success();
}

Result<> runLoadCommand(std::span<const char *const> arguments)
{
    cxxopts::Options options("sapphireladder-testbed load",
                             "Sends requests and checks the responses.");
    addFieldOptions(options, Testbed::loadFields());
    const auto parsed = parseArguments(options, arguments);
    Testbed::LoadOptions load;
    TRY(readFields(load, Testbed::loadFields(), parsed));
    if (load.endpoints.empty())
        return makeError(Testbed::TestbedError::MissingEndpoints);
    const auto report = Testbed::runLoadTest(load);
    std::cout << (load.json ? report.toJson() + "\n" : report.toText());
    return success();
}

Result<> runDemoCommand(std::span<const char *const>)
{
    return Testbed::runDemo(std::cout);
}

/** A subcommand of the program. */
struct Command
{
    std::string_view name;
    Result<> (*run)(std::span<const char *const> arguments);
};

constexpr Command commands[] = {
        {"target", runTargetCommand},
        {"platform", runPlatformCommand},
        {"load", runLoadCommand},
        {"demo", runDemoCommand},
};

int runCommand(const Command &command, std::span<const char *const> arguments)
{
    try {
        const auto result = command.run(arguments);
        if (result)
            return 0;
        std::cerr << "sapphireladder-testbed " << command.name << ": " << result.error().toString()
                  << '\n';
    } catch (const cxxopts::exceptions::exception &exception) {
        std::cerr << "sapphireladder-testbed " << command.name << ": " << exception.what() << '\n';
    }
    return 1;
}

} // namespace

int main(int argc, char **argv)
{
    blockStopSignals();
    const std::span<const char *const> arguments(argv, static_cast<std::size_t>(argc));
    for (const auto &it : commands) {
        if (argc > 1 && arguments[1] == it.name)
            return runCommand(it, arguments.subspan(1));
    }
    std::cerr << "usage: sapphireladder-testbed target|platform|load|demo [OPTIONS]\n";
    return 2;
}
