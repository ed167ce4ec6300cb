#pragma once

#include "Main/ExitCode.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>

#include <cxxopts.hpp>

#include <cstdint>
#include <span>
#include <string>

namespace Sapphireladder {

/** Parsed words of one subcommand. */
class Arguments
{
public:
    /** The words, or the exit code to end with after a message or the help text was printed. */
    using ParseResult = boost::outcome_v2::basic_result<Arguments, ExitCode,
                                                        boost::outcome_v2::policy::terminate>;

    /**
     * @param options what the subcommand accepts; "help" is added
     * @param words words after the subcommand
     */
    static ParseResult parse(cxxopts::Options options, std::span<const std::string> words);

    /** @return the option's text, empty if it was not given. */
    std::string text(const std::string &name) const;
    /** @return the option's number; the option has a default. */
    std::uint64_t number(const std::string &name) const;

private:
    explicit Arguments(const cxxopts::ParseResult &result)
        : m_result(result)
    {}

    cxxopts::ParseResult m_result;
};

} // namespace Sapphireladder
