#pragma once

#include "Connection/Http/CountingSocketImpl.h"
#include "Request/Http/RequestHttp.h"

#include <string>

namespace Sapphireladder {

/**
 * Reads the bytes of one complete head.
 * @param limit maximum size of the head in bytes
 * @return the lines of the head, or ConnectionError::PeerClosed if the peer closed before any byte.
 */
Result<std::string> readHead(CountingSocketImpl &connection, std::size_t limit);

/**
 * Reads the body that follows a head.
 * @param framing how the end of the body is determined
 * @param limit maximum size of the body in bytes
 */
Result<std::string> readBody(CountingSocketImpl &connection, const MessageFraming &framing,
                             std::size_t limit);

} // namespace Sapphireladder
