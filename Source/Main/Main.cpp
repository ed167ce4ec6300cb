#include "Main/CommandLine.h"
#include "Main/StopSignals.h"

#include <string_view>

namespace {

/**
 * Runs before the constructors of the shared libraries, as the first code of the program. A SIGHUP
 * must not end a gateway that starts.
 */
void deferEarlyHangUp(int argc, char **argv, char **)
{
    if (argc > 1 && std::string_view(argv[1]) == "gateway")
        Sapphireladder::deferHangUp();
}

[[gnu::section(".preinit_array"),
  gnu::used]] void (*const deferEarlyHangUpEntry)(int, char **, char **) = deferEarlyHangUp;

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(Sapphireladder::CommandLine().run(arguments));
}
