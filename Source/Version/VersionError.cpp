#include "Version/Version.h"

namespace Sapphireladder {

std::error_code make_error_code(VersionError error)
{
    static constexpr ErrorText<VersionError> texts[] = {
            {VersionError::InvalidYaml, "invalid YAML"},
            {VersionError::UnknownKey, "unknown key"},
            {VersionError::MissingKey, "missing key"},
            {VersionError::WrongType, "value has the wrong type"},
            {VersionError::WrongUnit, "duration needs a number with unit us, ms, s, min or h"},
            {VersionError::OutOfRange, "value is out of range"},
            {VersionError::DuplicateName, "duplicate name"},
            {VersionError::UnknownChoice, "value is not one of the allowed choices"},
            {VersionError::EmptyPreset, "preset has no service"},
            {VersionError::FileUnreadable, "file cannot be read"},
            {VersionError::DigestMismatch, "preset text does not match its digest"},
            {VersionError::UnknownPreset, "preset does not exist"},
    };
    static const TableErrorCategory<VersionError> category("version", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
