#pragma once

#include "Connection/Http/ChunkSource.h"

#include <Poco/Net/HTTPSession.h>

#include <string>

namespace Sapphireladder {

/** Decodes one chunked body with POCO's chunked stream. */
class ChunkedBodyReader final : private Poco::Net::HTTPSession
{
public:
    /**
     * @param socket must outlive the reader
     * @param maxBodyBytes maximum size of the body
     */
    ChunkedBodyReader(CountingSocketImpl &socket, std::size_t maxBodyBytes);

    /** @return the complete body. */
    Result<std::string> readBody();

private:
    explicit ChunkedBodyReader(ChunkSource *source);
    int read(char *buffer, std::streamsize length) override;

    /** Owned by the socket of the base class. */
    ChunkSource *m_source;
};

} // namespace Sapphireladder
