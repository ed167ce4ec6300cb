#include "Request/Http/RequestHttp.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Sapphireladder {

namespace {

namespace http = boost::beast::http;
using BeastError = boost::beast::error_code;

constexpr std::string_view whitespace = " \t";
constexpr std::string_view lineEnd = "\r\n";

bool isVisibleAscii(char c)
{
    return c > ' ' && c < '\x7f';
}

bool isTokenCharacter(char c)
{
    static constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return isVisibleAscii(c) && separators.find(c) == std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

std::optional<HttpVersion> parseVersion(std::string_view text)
{
    if (text == "HTTP/1.1")
        return HttpVersion::Http11;
    if (text == "HTTP/1.0")
        return HttpVersion::Http10;
    return std::nullopt;
}

std::string_view trimWhitespace(std::string_view text)
{
    const auto first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

/** Removes the text up to and including the separator. @return the part before the separator. */
std::string_view takeUntil(std::string_view &text, std::string_view separator)
{
    const auto end = text.find(separator);
    const auto part = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + separator.size());
    return part;
}

/** @return the framing, or nothing if the framing fields are invalid or conflicting. */
std::optional<MessageFraming> framingOf(const MessageHead &head)
{
    MessageFraming framing;
    for (const auto &[name, value] : head.fields) {
        const bool isLength = equalsIgnoringCase(name, "Content-Length");
        const bool isEncoding = equalsIgnoringCase(name, "Transfer-Encoding");
        if (!isLength && !isEncoding)
            continue;
        // The next hop might use the other of two framing fields, even if both agree.
        if (framing.kind != FramingKind::None)
            return std::nullopt;
        if (isEncoding) {
            if (!equalsIgnoringCase(value, "chunked") || head.version == HttpVersion::Http10)
                return std::nullopt;
            framing.kind = FramingKind::Chunked;
            continue;
        }
        const auto length = parseUnsigned(value);
        if (!length)
            return std::nullopt;
        framing = {FramingKind::Length, length.value()};
    }
    return framing;
}

/** Collects the fields that Beast's parser finds. */
class FieldParser final : public http::basic_parser<true>
{
public:
    explicit FieldParser(std::vector<HeaderField> &fields)
        : m_fields(fields)
    {
        // The size of the head is limited already, and that of the body elsewhere.
        header_limit(std::numeric_limits<std::uint32_t>::max());
        body_limit(std::numeric_limits<std::uint64_t>::max());
    }

private:
    using View = boost::beast::string_view;

    void on_request_impl(http::verb, View, View, int, BeastError &) override {}
    void on_response_impl(int, View, int, BeastError &) override {}
    void on_field_impl(http::field, View name, View value, BeastError &) override
    {
        m_fields.push_back({std::string(name), std::string(value)});
    }
    void on_header_impl(BeastError &) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t> &, BeastError &) override {}
    std::size_t on_body_impl(View body, BeastError &) override { return body.size(); }
    void on_chunk_header_impl(std::uint64_t, View, BeastError &) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, View body, BeastError &) override
    {
        return body.size();
    }
    void on_finish_impl(BeastError &) override {}

    std::vector<HeaderField> &m_fields;
};

bool isFramingError(const BeastError &ec)
{
    return ec == http::error::bad_content_length || ec == http::error::bad_transfer_encoding;
}

/**
 * Parses the fields of a head into it.
 * @param lines the lines behind the first one. Beast would reject some valid first lines, such as a
 * status line without a reason.
 * @return whether the fields are valid.
 */
bool parseFields(std::string_view lines, MessageHead &head)
{
    // Beast would unfold lines.
    if (!hasValidFields(lines))
        return false;
    std::string text = "GET / HTTP/1.1\r\n";
    text.append(lines).append(lineEnd);
    head.fields.reserve(static_cast<std::size_t>(std::count(lines.begin(), lines.end(), '\n')));
    BeastError ec;
    FieldParser parser(head.fields);
    parser.put(boost::asio::const_buffer(text.data(), text.size()), ec);
    if (ec && !isFramingError(ec))
        return false;
    head.framing = ec ? std::nullopt : framingOf(head);
    return true;
}

} // namespace

ConnectionOptions::ConnectionOptions(const MessageHead &head)
{
    for (const auto &[name, value] : head.fields) {
        if (!equalsIgnoringCase(name, "Connection"))
            continue;
        std::string_view list(value);
        while (!list.empty())
            m_names.insert(toLowerCase(trimWhitespace(takeUntil(list, ","))));
    }
}

bool ConnectionOptions::contains(std::string_view name) const
{
    return !m_names.empty() && m_names.contains(toLowerCase(name));
}

bool hasBareLineFeed(std::string_view text, std::size_t from)
{
    for (auto n = text.find('\n', from); n != std::string_view::npos; n = text.find('\n', n + 1)) {
        if (n == 0 || text[n - 1] != '\r')
            return true;
    }
    return false;
}

bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= ' ' && byte != 0x7f);
    });
}

bool hasValidFields(std::string_view lines)
{
    while (!lines.empty()) {
        const auto line = takeUntil(lines, lineEnd);
        const auto colon = line.find(':');
        if (colon == std::string_view::npos || !isToken(line.substr(0, colon))
            || !isFieldText(line.substr(colon + 1)))
            return false;
    }
    return true;
}

std::optional<RequestHead> parseRequestHead(std::string_view head)
{
    auto line = takeUntil(head, lineEnd);
    const auto method = takeUntil(line, " ");
    const auto target = takeUntil(line, " ");
    const auto version = parseVersion(line);
    RequestHead request;
    if (!version || !isToken(method) || target.empty()
        || !std::all_of(target.begin(), target.end(), isVisibleAscii))
        return std::nullopt;
    request.version = *version;
    request.method = method;
    request.requestTarget = target;
    if (!parseFields(head, request))
        return std::nullopt;
    return request;
}

std::optional<ResponseHead> parseResponseHead(std::string_view head)
{
    constexpr unsigned minStatus = 100;
    constexpr unsigned maxStatus = 599;
    constexpr std::size_t statusDigits = 3;
    auto line = takeUntil(head, lineEnd);
    const auto version = parseVersion(takeUntil(line, " "));
    const auto digits = takeUntil(line, " ");
    const auto status = parseUnsigned(digits);
    ResponseHead response;
    if (!version || !status || digits.size() != statusDigits || status.value() < minStatus
        || status.value() > maxStatus || !isFieldText(line))
        return std::nullopt;
    response.version = *version;
    response.status = static_cast<unsigned>(status.value());
    if (!parseFields(head, response))
        return std::nullopt;
    return response;
}

bool hasToken(const MessageHead &head, std::string_view name, std::string_view token)
{
    for (const auto &[field, value] : head.fields) {
        if (!equalsIgnoringCase(field, name))
            continue;
        std::string_view list(value);
        while (!list.empty()) {
            if (equalsIgnoringCase(trimWhitespace(takeUntil(list, ",")), token))
                return true;
        }
    }
    return false;
}

bool isKeepAlive(const MessageHead &head, const ConnectionOptions &options)
{
    if (options.contains("close"))
        return false;
    return head.version == HttpVersion::Http11 || options.contains("keep-alive");
}

} // namespace Sapphireladder
