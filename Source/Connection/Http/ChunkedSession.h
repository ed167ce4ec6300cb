#pragma once

#include "Connection/Http/ChunkSource.h"

#include <Poco/Net/HTTPSession.h>

#include <string>

namespace Sapphireladder {

/** Decodes one chunked body by POCO's chunked stream. */
class ChunkedSession final : private Poco::Net::HTTPSession
{
public:
    /**
     * @param connection outlives the session
     * @param limit largest body in bytes
     */
    ChunkedSession(CountingSocketImpl &connection, std::size_t limit);

    /** @return the whole body. */
    Result<std::string> readBody();

private:
    explicit ChunkedSession(ChunkSource *source);
    int read(char *buffer, std::streamsize length) override;

    /** Owned by the socket of the base class. */
    ChunkSource *m_source;
};

} // namespace Sapphireladder
