#pragma once

#include <system_error>

namespace Sapphireladder {

/** Errors in presets and route tables, and in switching between presets. */
enum class VersionError {
    InvalidYaml = 1,
    UnknownKey,
    MissingKey,
    WrongType,
    WrongUnit,
    OutOfRange,
    DuplicateName,
    UnknownChoice,
    EmptyPreset,
    FileUnreadable,
    DigestMismatch,
    UnknownPreset,
};

std::error_code make_error_code(VersionError error);

} // namespace Sapphireladder

template<>
struct std::is_error_code_enum<Sapphireladder::VersionError> : std::true_type
{};
