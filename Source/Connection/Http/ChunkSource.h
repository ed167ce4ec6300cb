#pragma once

#include "Connection/Http/CountingSocketImpl.h"

#include <Poco/Net/StreamSocketImpl.h>

#include <optional>
#include <span>
#include <string>

namespace Sapphireladder {

/** @return MessageCut for a close after a part of a message was read, else the error itself. */
Error cutIfClosed(Error error);

/**
 * Gives the input of a connection to POCO's chunked stream, and checks what that stream tolerates.
 * The text between chunks is given byte by byte, so that nothing beyond the body is taken.
 */
class ChunkSource final : public Poco::Net::StreamSocketImpl
{
public:
    /**
     * @param connection outlives the object
     * @param limit largest body in bytes
     */
    ChunkSource(CountingSocketImpl &connection, std::size_t limit);

    /** Gives one byte of the text between chunks. @return 1, or 0 after a fault. */
    int receiveBytes(void *buffer, int length, int flags) override;
    /** Gives bytes of the current chunk. @return their number, or 0 after a fault. */
    std::size_t readData(std::span<char> buffer);
    /** Skips the trailer fields, which POCO leaves. @return an error if the body is not whole. */
    Result<> finish();

protected:
    ~ChunkSource() override = default;

private:
    bool hasInput();
    void checkSizeLine();
    std::optional<std::size_t> statedSize() const;

    CountingSocketImpl &m_connection;
    std::size_t m_remainingLimit;
    /** Text since the last byte of a chunk. */
    std::string m_text;
    bool m_isFirstChunk = true;
    std::optional<Error> m_fault;
};

} // namespace Sapphireladder
