#include "Testbed/Testbed.h"

#include <thread>

namespace Sapphireladder::Testbed {

namespace {

/** @param framing header lines that define the body length @return the encoded response. */
std::string encode(const TargetResponse &response, const std::string &framing)
{
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    for (const auto &it : response.headers)
        bytes.append(it.name).append(": ").append(it.value).append("\r\n");
    return bytes.append(framing).append("\r\n").append(response.body);
}

std::string contentLengthHeader(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

std::string encode(const TargetResponse &response)
{
    return encode(response, contentLengthHeader(response.body.size()));
}

class CorrectSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        for (const auto &it : response.headers)
            context.response.set(it.name, it.value);
        sendResponse(context.response, 200, response.body);
    }
};

class ResetSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        sendRaw(context, std::string_view(encode(response)).substr(0, 1));
        resetConnection(context);
    }
};

class DuplicateSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        const auto bytes = encode(response);
        sendRaw(context, bytes + bytes);
    }
};

/** Sends a duplicate late, when the connection may already be in use for another request. */
class LateDuplicateSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        constexpr auto delay = std::chrono::milliseconds(5);
        const auto bytes = encode(response);
        sendRaw(context, bytes);
        std::this_thread::sleep_for(delay);
        sendRaw(context, bytes);
    }
};

class EarlierResponseSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &,
              const TargetResponse &earlier) const override
    {
        sendRaw(context, encode(earlier));
    }
};

class TruncatedBodySender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        const auto bytes = encode(response);
        sendRaw(context,
                std::string_view(bytes).substr(0, bytes.size() - response.body.size() / 2));
        closeConnection(context);
    }
};

class MissingLastChunkSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        // One complete chunk without the zero-length chunk that ends the body.
        constexpr std::string_view digits = "0123456789abcdef";
        std::string size;
        for (auto n = response.body.size(); n > 0; n /= digits.size())
            size.insert(size.begin(), digits[n % digits.size()]);
        TargetResponse chunk = response;
        chunk.body = size + "\r\n" + response.body + "\r\n";
        sendRaw(context, encode(chunk, "Transfer-Encoding: chunked\r\n"));
        closeConnection(context);
    }
};

class NoContentLengthSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        sendRaw(context, encode(response, "Connection: close\r\n"));
        closeConnection(context);
    }
};

/** Sends both Content-Length and Transfer-Encoding, which a receiver must reject. */
class ConflictingFramingSender final : public ResponseSender
{
public:
    void send(const HttpExchangeContext &context, const TargetResponse &response,
              const TargetResponse &) const override
    {
        sendRaw(context, encode(response, contentLengthHeader(response.body.size())
                                                  + "Transfer-Encoding: chunked\r\n"));
        closeConnection(context);
    }
};

const CorrectSender correctSender;
const ResetSender resetSender;
const DuplicateSender duplicateSender;
const LateDuplicateSender lateDuplicateSender;
const EarlierResponseSender earlierResponseSender;
const TruncatedBodySender truncatedBodySender;
const MissingLastChunkSender missingLastChunkSender;
const NoContentLengthSender noContentLengthSender;
const ConflictingFramingSender conflictingFramingSender;

} // namespace

std::span<const ResponseMode> responseModes()
{
    static const ResponseMode modes[] = {
            {"whole", correctSender},
            {"reset", resetSender},
            {"twice", duplicateSender},
            {"twice-late", lateDuplicateSender},
            {"earlier", earlierResponseSender},
            {"cut", truncatedBodySender},
            {"cut-chunk", missingLastChunkSender},
            {"no-length", noContentLengthSender},
            {"both-framings", conflictingFramingSender},
    };
    return modes;
}

} // namespace Sapphireladder::Testbed
