#pragma once

#include "Connection/Http/CountingSocketImpl.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <optional>
#include <span>
#include <string>

namespace Sapphireladder {

/** @return MessageTruncated for PeerClosed, and any other error unchanged. */
Error truncatedIfClosed(Error error);

/**
 * Feeds the input of a connection to POCO's chunked stream, and rejects malformed framing that the
 * stream accepts. The text between chunks is passed byte by byte, so that nothing beyond the body
 * is consumed.
 */
class ChunkSource final : public Poco::Net::StreamSocketImpl
{
public:
    /**
     * @param socket must outlive the object
     * @param maxBodyBytes maximum size of the body
     */
    ChunkSource(CountingSocketImpl &socket, std::size_t maxBodyBytes);

    /** Reads one byte of the text between chunks. @return 1, or 0 after an error. */
    int receiveBytes(void *buffer, int length, int flags) override;
    /** Reads bytes of the current chunk. @return their number, or 0 after an error. */
    std::size_t readData(std::span<char> buffer);
    /** Skips the trailer fields, which POCO does not read. @return an error if the body is
     * incomplete. */
    Result<> finish();

protected:
    ~ChunkSource() override = default;

private:
    bool hasInput();
    void checkSizeLine();
    std::optional<std::size_t> parseChunkSize() const;

    CountingSocketImpl &m_socket;
    std::size_t m_remainingBytes;
    /** Text received since the last data byte of a chunk. */
    std::string m_text;
    bool m_isFirstChunk = true;
    std::optional<Error> m_error;
};

} // namespace Sapphireladder
