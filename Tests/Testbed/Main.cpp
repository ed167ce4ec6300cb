#include "Testbed/Testbed.h"

#include <cxxopts.hpp>

#include <csignal>
#include <iostream>

namespace {

using namespace Sapphireladder;

void waitForStop()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int number = 0;
    sigwait(&signals, &number);
}

void blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int runTarget(int argc, const char *const *argv)
{
    cxxopts::Options options("sapphireladder-testbed target", "Runs a stand-in target.");
    options.add_options()("endpoint", "address", cxxopts::value<std::string>());
    options.add_options()("name", "name in answers", cxxopts::value<std::string>());
    options.add_options()("slots", "requests at a time",
                          cxxopts::value<unsigned>()->default_value("6"));
    options.add_options()("service-time", "time of a request, such as 10ms",
                          cxxopts::value<std::string>()->default_value("10ms"));
    const auto arguments = options.parse(argc, argv);
    Testbed::TargetOptions target;
    target.endpoint = Endpoint::parse(arguments["endpoint"].as<std::string>()).value();
    target.name = arguments["name"].as<std::string>();
    target.slots = arguments["slots"].as<unsigned>();
    target.serviceTime = parseDuration(arguments["service-time"].as<std::string>()).value();
    const Testbed::Target standin(target);
    waitForStop();
    return 0;
}

int runPlatform(int argc, const char *const *argv)
{
    cxxopts::Options options("sapphireladder-testbed platform", "Runs a stand-in platform.");
    options.add_options()("endpoint", "address", cxxopts::value<std::string>());
    const auto arguments = options.parse(argc, argv);
    const Testbed::Platform standin(
            Endpoint::parse(arguments["endpoint"].as<std::string>()).value());
    waitForStop();
    return 0;
}

/** One row of the table of subcommands. */
struct Command
{
    std::string_view name;
    int (*run)(int argc, const char *const *argv);
};

constexpr Command commands[] = {
        {"target", runTarget},
        {"platform", runPlatform},
};

} // namespace

int main(int argc, char **argv)
{
    blockStopSignals();
    for (const auto &it : commands) {
        if (argc > 1 && argv[1] == it.name)
            return it.run(argc - 1, argv + 1);
    }
    std::cerr << "usage: sapphireladder-testbed target|platform [OPTIONS]\n";
    return 2;
}
