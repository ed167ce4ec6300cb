#pragma once

#include "Core/Error.h"

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace Sapphireladder {

/** A value or the error that prevented it. Reading the absent one ends the process. */
template<typename T = void>
using Result = boost::outcome_v2::basic_result<T, Error, boost::outcome_v2::policy::terminate>;

/** @return the success of a function that gives no value. */
inline auto success()
{
    return boost::outcome_v2::success();
}

/**
 * @param code an error enum's value
 * @param subject what the failure concerns
 * @return an Error for `return` in a function that gives a Result.
 */
template<typename Enum>
Error makeError(Enum code, std::string subject = {})
{
    return Error{make_error_code(code), std::move(subject), std::nullopt};
}

} // namespace Sapphireladder

/** Returns from the function with the error of the expression, if it has one. */
#define TRY(...) BOOST_OUTCOME_TRYV(__VA_ARGS__)
/** Declares `name` with the value of the expression, or returns with its error. */
#define TRY_ASSIGN(name, ...) BOOST_OUTCOME_TRYA(name, __VA_ARGS__)
