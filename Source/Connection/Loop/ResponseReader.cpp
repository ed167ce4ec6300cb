#include "Connection/Loop/ConnectionLoop.h"

namespace Sapphireladder {

namespace {

constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

std::optional<Duration> parseIdleTimeout(const MessageHead &head)
{
    constexpr std::string_view key = "timeout=";
    const auto value = fieldValue(head.fields, "Keep-Alive");
    const auto start = value.find(key);
    if (start == std::string_view::npos)
        return std::nullopt;
    const auto digits = value.substr(start + key.size(),
                                     value.find_first_of(", ", start) - start - key.size());
    const auto seconds = parseUnsigned(digits);
    if (!seconds)
        return std::nullopt;
    return std::chrono::seconds(std::min<std::uint64_t>(seconds.value(), 3600));
}

} // namespace

ResponseReader::ResponseReader(bool isBodyless, std::size_t maxBodyBytes)
    : m_isBodyless(isBodyless)
    , m_maxBodyBytes(maxBodyBytes)
{}

ReadProgress ResponseReader::feed(std::string_view &input)
{
    while (!m_hasHead) {
        auto progress = m_head.feed(input);
        if (progress == ReadProgress::Complete)
            progress = processHead();
        if (progress != ReadProgress::Complete)
            return progress;
    }
    return m_body.feed(input);
}

ReadProgress ResponseReader::processHead()
{
    auto head = parseResponseHead(m_head.lines());
    if (!head)
        return ReadProgress::Malformed;
    m_head.clear();
    m_response.status = head->status;
    // Requests never ask for an upgrade of the protocol.
    if (m_response.status == switchingProtocols)
        return ReadProgress::Malformed;
    if (m_response.status < firstFinalStatus)
        return ++m_interimCount <= maxInterimResponses ? ReadProgress::Complete
                                                       : ReadProgress::Malformed;
    const auto &framing = head->framing;
    if (!framing)
        return ReadProgress::Malformed;
    const bool hasNoBody = m_isBodyless || m_response.status == noContent
                           || m_response.status == notModified;
    const auto bodyFraming = hasNoBody ? BodyFraming::None
                                       : bodyFramingOf(framing->kind, BodyFraming::UntilClose);
    m_body = BodyDecoder(bodyFraming, framing->length, m_maxBodyBytes);
    // The sender may send the body that it announced, although the status forbids one.
    const bool isBodyExpected = m_response.status == noContent
                                && (framing->kind == FramingKind::Chunked || framing->length > 0);
    m_keepsConnection = isKeepAlive(*head, ConnectionOptions(*head))
                        && bodyFraming != BodyFraming::UntilClose && !isBodyExpected;
    m_idleTimeout = parseIdleTimeout(*head);
    m_response.headers = std::move(head->fields);
    m_fieldBytes = memoryOf(m_response.headers);
    m_hasHead = true;
    return ReadProgress::Complete;
}

Response ResponseReader::takeResponse()
{
    m_response.body = m_body.takeBody();
    return std::move(m_response);
}

} // namespace Sapphireladder
