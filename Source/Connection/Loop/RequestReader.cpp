#include "Connection/Loop/ConnectionLoop.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPRequest;

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
    const auto lines = m_head.lines();
    if (static_cast<std::size_t>(std::count(lines.begin(), lines.end(), '\n')) > maxFields + 1) {
        m_refusalReason = RefusalReason::HeaderTooLarge;
        return ReadProgress::TooLarge;
    }
    HTTPRequest head;
    if (!parseRequestHead(m_head.lines(), head))
        return ReadProgress::Malformed;
    const auto framing = framingOf(head);
    if (!framing) {
        m_refusalReason = RefusalReason::BadFraming;
        return ReadProgress::Malformed;
    }
    m_request.method = head.getMethod();
    m_request.requestTarget = head.getURI();
    m_request.host = head.get(HTTPRequest::HOST, "");
    m_request.keepsConnection = Sapphireladder::isKeepAlive(head);
    m_request.headers.reserve(head.size());
    m_fieldBytes = m_head.size() + head.size() * sizeof(HeaderField);
    m_head.clear();
    for (const auto &[name, value] : head) {
        if (!isConnectionSpecificField(name) && !hasToken(head, HTTPRequest::CONNECTION, name))
            m_request.headers.push_back({name, value});
    }
    m_expectsContinue = framing->kind != FramingKind::None
                        && hasToken(head, "Expect", "100-continue");
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
