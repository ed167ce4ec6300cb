#pragma once

#include "Request/Http/RequestHttp.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** What ends a message's body. */
enum class BodyEnd : std::uint8_t {
    /** There is no body. */
    None,
    Length,
    Chunked,
    /** The sender closes the connection. Only answers may end so. */
    Close,
};

/** @return what ends a body of that framing. @param unframed the end of one without framing */
BodyEnd bodyEndOf(FramingKind kind, BodyEnd unframed);

/** How far a message has been read. */
enum class ReadProgress : std::uint8_t {
    NeedMore,
    Complete,
    Malformed,
    TooLarge,
};

/** Takes the body of one message from a connection's input, as it arrives. */
class BodyDecoder
{
public:
    BodyDecoder() = default;
    /**
     * @param end how the body ends
     * @param length bytes of the body, with BodyEnd::Length
     * @param limit largest body in bytes
     */
    BodyDecoder(BodyEnd end, std::uint64_t length, std::size_t limit);

    /** Takes what belongs to the body off the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** The sender closed the connection in order. @return whether that completes the body. */
    bool completesByClose() const { return m_end == BodyEnd::Close; }
    std::string takeBody() { return std::move(m_body); }

private:
    enum class ChunkState : std::uint8_t {
        SizeLine,
        Data,
        DataEnd,
        Trailer,
        Done,
    };

    ReadProgress append(std::string_view &input, std::uint64_t size);
    ReadProgress feedChunked(std::string_view &input);
    ReadProgress takeLine(std::string_view &input);
    ReadProgress finishLine();
    ReadProgress startChunk();

    BodyEnd m_end = BodyEnd::None;
    std::uint64_t m_remaining = 0;
    std::size_t m_limit = 0;
    std::string m_body;
    ChunkState m_chunkState = ChunkState::SizeLine;
    std::string m_line;
};

} // namespace Sapphireladder
