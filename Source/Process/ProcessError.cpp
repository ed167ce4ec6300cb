#include "Process/Process.h"

namespace Sapphireladder {

std::error_code make_error_code(ProcessError error)
{
    static constexpr ErrorText<ProcessError> texts[] = {
            {ProcessError::StoreUnavailable, "platform store unreachable"},
            {ProcessError::StoreResponseInvalid, "invalid response from platform store"},
            {ProcessError::PresetNotInStore, "preset not found in platform store or at peer"},
            {ProcessError::MailboxFull, "message queue of control thread is full"},
            {ProcessError::Stopping, "process is shutting down"},
            {ProcessError::PeerUnavailable, "peer unreachable"},
            {ProcessError::AdminUnavailable, "admin endpoint of VM unreachable"},
            {ProcessError::PeerMessageInvalid, "invalid message from peer"},
            {ProcessError::PeerListenFailed, "cannot listen on peer endpoint"},
            {ProcessError::AdminResponseInvalid, "invalid response from admin endpoint of VM"},
    };
    static const TableErrorCategory<ProcessError> category("process", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
