#pragma once

#include "Request/Http/RequestHttp.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** How the end of a message body is determined. */
enum class BodyFraming : std::uint8_t {
    /** The message has no body. */
    None,
    ContentLength,
    Chunked,
    /** The body ends when the sender closes the connection. Valid for responses only. */
    UntilClose,
};

/** Converts the framing of a head. @param unframedDefault returned for FramingKind::None */
BodyFraming bodyFramingOf(FramingKind kind, BodyFraming unframedDefault);

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
     * @param framing how the end of the body is determined
     * @param length size of the body in bytes; used with BodyFraming::ContentLength only
     * @param maxBytes maximum size of the body
     */
    BodyDecoder(BodyFraming framing, std::uint64_t length, std::size_t maxBytes);

    /** Consumes the bytes of the body from the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return whether an orderly close of the connection completes the body. */
    bool isCompletedByClose() const { return m_framing == BodyFraming::UntilClose; }
    std::size_t bufferedBytes() const { return m_body.size(); }
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
    /** Grows the buffer by doubling, but not beyond the largest size that the body can have. */
    void reserveFor(std::size_t partSize, std::uint64_t remaining);
    ReadProgress feedChunked(std::string_view &input);
    ReadProgress readLine(std::string_view &input);
    ReadProgress processLine();
    ReadProgress startChunk();

    BodyFraming m_framing = BodyFraming::None;
    std::uint64_t m_remaining = 0;
    std::size_t m_maxBytes = 0;
    std::string m_body;
    ChunkState m_chunkState = ChunkState::SizeLine;
    std::string m_line;
};

} // namespace Sapphireladder
