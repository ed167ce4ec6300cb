#include "Main/CommandLine.h"

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(Sapphireladder::CommandLine().run(arguments));
}
