#include "Connection/Connection.h"

namespace Sapphireladder {

std::error_code make_error_code(ConnectionError error)
{
    static constexpr ErrorText<ConnectionError> texts[] = {
            {ConnectionError::ConnectFailed, "connection cannot be opened"},
            {ConnectionError::ListenFailed, "address cannot be listened on"},
            {ConnectionError::PeerClosed, "peer closed the connection between messages"},
            {ConnectionError::MessageCut, "peer closed the connection inside a message"},
            {ConnectionError::ConnectionReset, "connection was reset"},
            {ConnectionError::DeadlinePassed, "deadline of the connection passed"},
            {ConnectionError::HeadTooLarge, "head of the message exceeds the limit"},
            {ConnectionError::HeadMalformed, "head of the message is not HTTP/1.x"},
            {ConnectionError::BodyTooLarge, "body of the message exceeds the limit"},
            {ConnectionError::BadFraming, "framing of the message is invalid"},
            {ConnectionError::NoLength, "message has no length"},
    };
    static const TableErrorCategory<ConnectionError> category("connection", texts);
    return {static_cast<int>(error), category};
}

} // namespace Sapphireladder
