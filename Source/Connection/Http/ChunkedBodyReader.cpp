#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Net/HTTPChunkedStream.h>

namespace Sapphireladder {

ChunkedBodyReader::ChunkedBodyReader(CountingSocketImpl &socket, std::size_t maxBodyBytes)
    : ChunkedBodyReader(new ChunkSource(socket, maxBodyBytes))
{}

ChunkedBodyReader::ChunkedBodyReader(ChunkSource *source)
    : HTTPSession(Poco::Net::StreamSocket(source))
    , m_source(source)
{}

Result<std::string> ChunkedBodyReader::readBody()
{
    std::string body;
    Poco::Net::HTTPChunkedInputStream stream(*this);
    char buf[4096];
    while (stream) {
        stream.read(buf, sizeof(buf));
        body.append(buf, static_cast<std::size_t>(stream.gcount()));
    }
    TRY(m_source->finish());
    return body;
}

int ChunkedBodyReader::read(char *buffer, std::streamsize length)
{
    return static_cast<int>(m_source->readData({buffer, static_cast<std::size_t>(length)}));
}

} // namespace Sapphireladder
