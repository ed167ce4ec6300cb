#pragma once

namespace Sapphireladder {

/** Exit codes of the program. */
enum class ExitCode {
    Success = 0,
    /** A file or an argument is wrong. */
    Usage = 2,
    /** An address cannot be listened on, or a VM cannot be reached. */
    Unavailable = 3,
    /** A switch lost a race against another. */
    Conflict = 4,
    /** A switch was refused; nothing changed. */
    Refused = 5,
    /** The fate of a switch is not known; repeat the operation. */
    Unknown = 6,
};

} // namespace Sapphireladder
