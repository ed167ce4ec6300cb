#pragma once

#include "Core/Error.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace Sapphireladder {

/** A value or an Error. Accessing the one that is not set terminates the process. */
template<typename T = void>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/** @return the success value of a Result<>. */
inline auto success()
{
    return boost::outcome_v2::success();
}

/**
 * @param code value of an error enum
 * @param subject what the error concerns
 * @return an Error, which converts to any Result.
 */
template<typename Enum>
Error makeError(Enum code, std::string subject = {})
{
    return Error{make_error_code(code), std::move(subject), std::nullopt};
}

} // namespace Sapphireladder

/** Returns from the enclosing function if the expression has an error. */
#define TRY(...) BOOST_OUTCOME_TRYV(__VA_ARGS__)
/** Declares `name` with the value of the expression, or returns from the function on error. */
#define TRY_ASSIGN(name, ...) BOOST_OUTCOME_TRYA(name, __VA_ARGS__)
