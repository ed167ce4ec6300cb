#include "Connection/Loop/ConnectionLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

/** Connection-specific fields (RFC 9110, 7.6.1), and the fields that the VM handles itself. */
constexpr std::string_view connectionSpecificFields[] = {
        "Connection",        "Keep-Alive", "Proxy-Connection", "TE",     "Trailer",
        "Transfer-Encoding", "Upgrade",    "Content-Length",   "Expect",
};

} // namespace

bool isConnectionSpecificField(std::string_view name)
{
    return std::any_of(std::begin(connectionSpecificFields), std::end(connectionSpecificFields),
                       [name](auto field) { return equalsIgnoringCase(field, name); });
}

std::size_t RequestReader::bufferedBytes() const
{
    return m_head.size() + m_fieldBytes + m_body.bufferedBytes();
}

ReadProgress RequestReader::feed(std::string_view &input)
{
    if (!m_hasHead) {
        const auto progress = m_head.feed(input);
        if (progress == ReadProgress::TooLarge)
            m_refusalReason = RefusalReason::HeaderTooLarge;
        if (progress != ReadProgress::Complete)
            return progress;
        if (const auto parsed = processHead(); parsed != ReadProgress::Complete)
            return parsed;
    }
    const auto progress = m_body.feed(input);
    if (progress == ReadProgress::TooLarge)
        m_refusalReason = RefusalReason::BodyTooLarge;
    else if (progress == ReadProgress::Malformed)
        m_refusalReason = RefusalReason::BadFraming;
    return progress;
}

ReadProgress RequestReader::processHead()
{
    auto head = parseRequestHead(m_head.lines());
    if (!head)
        return ReadProgress::Malformed;
    m_head.clear();
    const auto framing = head->framing;
    if (!framing) {
        m_refusalReason = RefusalReason::BadFraming;
        return ReadProgress::Malformed;
    }
    const ConnectionOptions options(*head);
    m_request.host = fieldValue(head->fields, "Host");
    m_request.keepsConnection = isKeepAlive(*head, options);
    m_expectsContinue = framing->kind != FramingKind::None
                        && hasToken(*head, "Expect", "100-continue");
    std::erase_if(head->fields, [&options](const auto &it) {
        return isConnectionSpecificField(it.name) || options.contains(it.name);
    });
    m_request.method = std::move(head->method);
    m_request.requestTarget = std::move(head->requestTarget);
    m_request.headers = std::move(head->fields);
    m_fieldBytes = m_request.requestTarget.size() + memoryOf(m_request.headers);
    m_body = BodyDecoder(bodyFramingOf(framing->kind, BodyFraming::None), framing->length,
                         m_maxBodyBytes);
    m_hasHead = true;
    return ReadProgress::Complete;
}

bool RequestReader::takeContinueExpectation()
{
    return std::exchange(m_expectsContinue, false);
}

CallerRequest RequestReader::takeRequest()
{
    m_request.body = m_body.takeBody();
    return std::move(m_request);
}

} // namespace Sapphireladder
