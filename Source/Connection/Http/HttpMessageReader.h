#pragma once

#include "Connection/Http/CountingSocketImpl.h"
#include "Request/Http/RequestHttp.h"

#include <string>

namespace Sapphireladder {

/**
 * Reads the bytes of one complete head.
 * @param maxBytes maximum size of the head
 * @return the lines of the head, or ConnectionError::PeerClosed if the peer closed before any byte.
 */
Result<std::string> readHead(CountingSocketImpl &socket, std::size_t maxBytes);

/**
 * Reads the body that follows a head.
 * @param framing how the end of the body is determined
 * @param maxBytes maximum size of the body
 */
Result<std::string> readBody(CountingSocketImpl &socket, const MessageFraming &framing,
                             std::size_t maxBytes);

} // namespace Sapphireladder
