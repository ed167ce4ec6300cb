#include "Connection/Loop/ConnectionLoop.h"

#include <algorithm>
#include <charconv>

namespace Sapphireladder {

namespace {

/** Maximum length in bytes of a chunk-size line with its extensions, and of a trailer field. */
constexpr std::size_t maxChunkLineBytes = 4 * kibibyte;
/** Maximum number of hexadecimal digits in a chunk size; allows sizes far above any limit. */
constexpr std::size_t maxChunkSizeDigits = 12;

std::optional<std::uint64_t> parseChunkSize(std::string_view line)
{
    const auto digits = line.substr(0, line.find_first_of("; \t"));
    const auto extension = line.find_first_not_of(" \t", digits.size());
    if (extension != std::string_view::npos && line[extension] != ';')
        return std::nullopt;
    const auto *end = digits.data() + digits.size();
    std::uint64_t size = 0;
    const auto [stop, ec] = std::from_chars(digits.data(), end, size, 16);
    if (digits.empty() || digits.size() > maxChunkSizeDigits || ec != std::errc() || stop != end
        || !isFieldText(line))
        return std::nullopt;
    return size;
}

} // namespace

BodyDecoder::BodyDecoder(BodyFraming framing, std::uint64_t length, std::size_t maxBytes)
    : m_framing(framing)
    , m_remaining(length)
    , m_maxBytes(maxBytes)
{}

ReadProgress BodyDecoder::feed(std::string_view &input)
{
    switch (m_framing) {
    case BodyFraming::None:
        return ReadProgress::Complete;
    case BodyFraming::ContentLength:
        if (m_remaining > m_maxBytes)
            return ReadProgress::TooLarge;
        append(input, m_remaining);
        return m_remaining == 0 ? ReadProgress::Complete : ReadProgress::NeedMore;
    case BodyFraming::Chunked:
        return feedChunked(input);
    case BodyFraming::UntilClose:
        break;
    }
    m_remaining = input.size();
    return append(input, m_remaining);
}

ReadProgress BodyDecoder::append(std::string_view &input, std::uint64_t size)
{
    const auto part = input.substr(0, size);
    if (m_body.size() + part.size() > m_maxBytes)
        return ReadProgress::TooLarge;
    reserveFor(part.size(), size);
    m_body.append(part);
    m_remaining -= part.size();
    input.remove_prefix(part.size());
    return ReadProgress::NeedMore;
}

void BodyDecoder::reserveFor(std::size_t partSize, std::uint64_t remaining)
{
    const auto needed = m_body.size() + partSize;
    if (needed <= m_body.capacity())
        return;
    const std::uint64_t largest = m_framing == BodyFraming::ContentLength
                                          ? m_body.size() + remaining
                                          : m_maxBytes;
    // A last step from more than half would hold almost the whole body twice while it is copied.
    const std::uint64_t doubled = 2 * m_body.capacity();
    m_body.reserve(std::max<std::uint64_t>(needed, doubled > largest / 2 ? largest : doubled));
}

ReadProgress BodyDecoder::feedChunked(std::string_view &input)
{
    while (m_chunkState != ChunkState::Done) {
        if (input.empty())
            return ReadProgress::NeedMore;
        const bool isData = m_chunkState == ChunkState::Data;
        const auto progress = isData ? append(input, m_remaining) : readLine(input);
        if (progress == ReadProgress::Malformed || progress == ReadProgress::TooLarge)
            return progress;
        if (isData && m_remaining == 0)
            m_chunkState = ChunkState::DataEnd;
    }
    return ReadProgress::Complete;
}

ReadProgress BodyDecoder::readLine(std::string_view &input)
{
    const auto end = input.find('\n');
    const auto size = end == std::string_view::npos ? input.size() : end + 1;
    if (m_line.size() + size > maxChunkLineBytes)
        return ReadProgress::Malformed;
    m_line.append(input.substr(0, size));
    input.remove_prefix(size);
    if (end == std::string_view::npos)
        return ReadProgress::NeedMore;
    if (!m_line.ends_with("\r\n"))
        return ReadProgress::Malformed;
    m_line.resize(m_line.size() - 2);
    const auto progress = processLine();
    m_line.clear();
    return progress;
}

ReadProgress BodyDecoder::processLine()
{
    switch (m_chunkState) {
    case ChunkState::SizeLine:
        return startChunk();
    case ChunkState::DataEnd:
        m_chunkState = ChunkState::SizeLine;
        return m_line.empty() ? ReadProgress::NeedMore : ReadProgress::Malformed;
    case ChunkState::Trailer:
        // Trailer fields are discarded and not forwarded.
        if (m_line.empty())
            m_chunkState = ChunkState::Done;
        return hasValidFields(m_line) ? ReadProgress::NeedMore : ReadProgress::Malformed;
    case ChunkState::Data:
    case ChunkState::Done:
        break;
    }
    return ReadProgress::Malformed;
}

ReadProgress BodyDecoder::startChunk()
{
    const auto size = parseChunkSize(m_line);
    if (!size)
        return ReadProgress::Malformed;
    m_remaining = *size;
    m_chunkState = m_remaining == 0 ? ChunkState::Trailer : ChunkState::Data;
    return m_body.size() + m_remaining > m_maxBytes ? ReadProgress::TooLarge
                                                    : ReadProgress::NeedMore;
}

BodyFraming bodyFramingOf(FramingKind kind, BodyFraming unframedDefault)
{
    switch (kind) {
    case FramingKind::Length:
        return BodyFraming::ContentLength;
    case FramingKind::Chunked:
        return BodyFraming::Chunked;
    case FramingKind::None:
        break;
    }
    return unframedDefault;
}

} // namespace Sapphireladder
