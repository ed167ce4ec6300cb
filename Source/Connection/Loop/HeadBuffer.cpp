#include "Connection/Loop/ConnectionLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headTerminator = "\r\n\r\n";

} // namespace

ReadProgress HeadBuffer::feed(std::string_view &input)
{
    // Empty lines before a message are ignored, as RFC 9112, 2.2 recommends for requests. The
    // two bytes of a line end may arrive in separate parts.
    while (lineEnd.starts_with(m_text) && input.starts_with(lineEnd.substr(m_text.size()))) {
        input.remove_prefix(lineEnd.size() - m_text.size());
        m_text.clear();
    }
    const auto before = m_text.size();
    m_text.append(input);
    const auto searchFrom = before < headTerminator.size() ? 0 : before - headTerminator.size() + 1;
    const auto end = m_text.find(headTerminator, searchFrom);
    if (std::min(end, m_text.size()) > m_maxBytes)
        return ReadProgress::TooLarge;
    const auto size = end == std::string::npos ? m_text.size() : end + headTerminator.size();
    input.remove_prefix(size - before);
    m_text.resize(size);
    if (hasBareLineFeed(m_text, before))
        return ReadProgress::Malformed;
    return end == std::string::npos ? ReadProgress::NeedMore : ReadProgress::Complete;
}

std::string_view HeadBuffer::lines() const
{
    return std::string_view(m_text).substr(0, m_text.size() - lineEnd.size());
}

} // namespace Sapphireladder
