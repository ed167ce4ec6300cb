#pragma once

#include <system_error>

namespace Sapphireladder {

/** Errors of the platform's store, peers, the admin endpoint and the control thread. */
enum class ProcessError {
    StoreUnavailable = 1,
    StoreResponseInvalid,
    PresetNotInStore,
    MailboxFull,
    Stopping,
    PeerUnavailable,
    AdminUnavailable,
    AdminResponseInvalid,
    PeerMessageInvalid,
    PeerListenFailed,
};

std::error_code make_error_code(ProcessError error);

} // namespace Sapphireladder

template<>
struct std::is_error_code_enum<Sapphireladder::ProcessError> : std::true_type
{};
