#pragma once

namespace Sapphireladder {

/** Exit codes of the program. */
enum class ExitCode {
    Success = 0,
    /** A file or an argument is invalid. */
    Usage = 2,
    /** An address cannot be bound, or a VM cannot be reached. */
    Unavailable = 3,
    /** A switch conflicted with a concurrent one, or the expected version is not in force. */
    Conflict = 4,
    /** A switch was refused and changed nothing, or a VM responded with an error status. */
    Refused = 5,
    /** The outcome of a switch is not known; repeat the operation. */
    Unknown = 6,
};

} // namespace Sapphireladder
