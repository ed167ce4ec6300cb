#pragma once

#include "Connection/Http/CountingSocketImpl.h"
#include "Request/Http/RequestHttp.h"

#include <string>

namespace Sapphireladder {

/**
 * Receives the bytes of one whole head, which POCO then parses.
 * @param limit largest head in bytes
 * @return the lines of the head, or ConnectionError::PeerClosed if nothing came before a close.
 */
Result<std::string> readHead(CountingSocketImpl &connection, std::size_t limit);

/**
 * Reads the body that follows a head.
 * @param framing how the body's end is found
 * @param limit largest body in bytes
 */
Result<std::string> readBody(CountingSocketImpl &connection, const MessageFraming &framing,
                             std::size_t limit);

} // namespace Sapphireladder
