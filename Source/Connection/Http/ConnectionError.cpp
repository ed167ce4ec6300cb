#include "Connection/Http/ConnectionHttp.h"

namespace Sapphireladder {

std::error_code make_error_code(ConnectionError error)
{
    static constexpr ErrorText<ConnectionError> texts[] = {
            {ConnectionError::ConnectFailed, "connection cannot be opened"},
            {ConnectionError::ListenFailed, "address cannot be listened on"},
    };
    static const TableErrorCategory<ConnectionError> category("connection", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
