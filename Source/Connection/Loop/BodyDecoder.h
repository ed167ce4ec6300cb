#pragma once

#include "Request/Http/RequestHttp.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** How the end of a message body is determined. */
enum class BodyEnd : std::uint8_t {
    /** The message has no body. */
    None,
    Length,
    Chunked,
    /** The body ends when the sender closes the connection. Valid for answers only. */
    Close,
};

/** @param unframed returned for FramingKind::None */
BodyEnd bodyEndOf(FramingKind kind, BodyEnd unframed);

/** Result of feeding input to an incremental reader. */
enum class ReadProgress : std::uint8_t {
    NeedMore,
    Complete,
    Malformed,
    TooLarge,
};

/** Incremental decoder of the body of one message. */
class BodyDecoder
{
public:
    BodyDecoder() = default;
    /**
     * @param end how the end of the body is determined
     * @param length size of the body in bytes; used with BodyEnd::Length only
     * @param limit maximum size of the body in bytes
     */
    BodyDecoder(BodyEnd end, std::uint64_t length, std::size_t limit);

    /** Consumes the bytes of the body from the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return whether the body is complete once the sender has closed the connection in order. */
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
