#include "Main/Arguments.h"

#include <iostream>
#include <vector>

namespace Sapphireladder {

Arguments::ParseResult Arguments::parse(cxxopts::Options options,
                                        std::span<const std::string> rawArguments)
{
    options.add_options()("h,help", "print this text");
    std::vector<const char *> argv{"sapphireladder"};
    for (const auto &it : rawArguments)
        argv.push_back(it.c_str());
    try {
        const auto result = options.parse(static_cast<int>(argv.size()), argv.data());
        if (result.count("help") > 0) {
            std::cout << options.help();
            return ExitCode::Success;
        }
        if (result.unmatched().empty())
            return Arguments(result);
        std::cerr << "unexpected argument: " << result.unmatched().front() << '\n';
    } catch (const cxxopts::exceptions::exception &ex) {
        std::cerr << ex.what() << '\n';
    }
    return ExitCode::Usage;
}

std::string Arguments::text(const std::string &name) const
{
    return m_result.count(name) > 0 ? m_result[name].as<std::string>() : std::string();
}

std::uint64_t Arguments::number(const std::string &name) const
{
    return m_result[name].as<std::uint64_t>();
}

} // namespace Sapphireladder
