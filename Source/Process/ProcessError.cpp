#include "Process/Process.h"

namespace Sapphireladder {

std::error_code make_error_code(ProcessError error)
{
    static constexpr ErrorText<ProcessError> texts[] = {
            {ProcessError::StoreUnavailable, "the platform's store cannot be reached"},
            {ProcessError::StoreAnswerInvalid, "the platform's store gave an invalid answer"},
            {ProcessError::PresetNotInStore, "the store has no such preset"},
            {ProcessError::MailboxFull, "the control thread has too many messages waiting"},
            {ProcessError::Stopping, "the process is stopping"},
            {ProcessError::PeerUnavailable, "the peer cannot be reached"},
            {ProcessError::AdminUnavailable, "the VM's admin endpoint cannot be reached"},
            {ProcessError::PeerAnswerInvalid, "the peer sent an invalid message"},
            {ProcessError::PeerListenFailed, "address for peers cannot be listened on"},
            {ProcessError::AdminAnswerInvalid, "the VM's admin endpoint gave an invalid answer"},
    };
    static const TableErrorCategory<ProcessError> category("process", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
