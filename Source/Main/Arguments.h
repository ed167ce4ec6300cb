#pragma once

#include "Main/ExitCode.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include <cxxopts.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace Sapphireladder {

/** Parsed arguments of a subcommand. */
class Arguments
{
public:
    /** The arguments, or the exit code to end with once help or an error message was printed. */
    using ParseResult = boost::outcome_v2::basic_result<Arguments, ExitCode,
                                                        boost::outcome_v2::policy::terminate>;

    /**
     * @param options options of the subcommand; "help" is added
     * @param rawArguments the arguments after the subcommand
     */
    static ParseResult parse(cxxopts::Options options, std::span<const std::string> rawArguments);

    /** @return the option's value, empty if it was not given. */
    std::string text(const std::string &name) const;
    /** @return the option's value; the option must have a default. */
    std::uint64_t number(const std::string &name) const;

private:
    explicit Arguments(const cxxopts::ParseResult &result)
        : m_result(result)
    {}

    cxxopts::ParseResult m_result;
};

} // namespace Sapphireladder
