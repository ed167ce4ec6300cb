#include "Connection/Connection.h"

namespace Sapphireladder {

std::error_code make_error_code(ConnectionError error)
{
    static constexpr ErrorText<ConnectionError> texts[] = {
            {ConnectionError::ConnectFailed, "failed to connect"},
            {ConnectionError::ListenFailed, "failed to listen on the address"},
            {ConnectionError::PeerClosed, "peer closed the connection between messages"},
            {ConnectionError::MessageTruncated, "message truncated: peer closed the connection"},
            {ConnectionError::ConnectionReset, "connection reset by peer"},
            {ConnectionError::DeadlinePassed, "deadline exceeded"},
            {ConnectionError::HeadTooLarge, "message head exceeds the size limit"},
            {ConnectionError::HeadMalformed, "message head is not valid HTTP/1.x"},
            {ConnectionError::BodyTooLarge, "message body exceeds the size limit"},
            {ConnectionError::BadFraming, "invalid message framing"},
            {ConnectionError::NoLength, "message has neither Content-Length nor chunked encoding"},
    };
    static const TableErrorCategory<ConnectionError> category("connection", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
