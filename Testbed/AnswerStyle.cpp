#include "Testbed/Testbed.h"

#include <thread>

namespace Sapphireladder::Testbed {

namespace {

/** @param framing header lines that define the body length @return the encoded response. */
std::string encode(const TargetAnswer &answer, const std::string &framing)
{
    std::string bytes = "HTTP/1.1 200 OK\r\n";
    for (const auto &it : answer.headers)
        bytes.append(it.name).append(": ").append(it.value).append("\r\n");
    return bytes.append(framing).append("\r\n").append(answer.body);
}

std::string lengthField(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n";
}

std::string encode(const TargetAnswer &answer)
{
    return encode(answer, lengthField(answer.body.size()));
}

class WholeSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        for (const auto &it : answer.headers)
            context.response.set(it.name, it.value);
        sendResponse(context.response, 200, answer.body);
    }
};

class ResetSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        sendRaw(context, std::string_view(encode(answer)).substr(0, 1));
        resetConnection(context);
    }
};

class TwiceSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        const auto bytes = encode(answer);
        sendRaw(context, bytes + bytes);
    }
};

/** Sends a duplicate late, when the connection may already be in use for another request. */
class TwiceLateSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        constexpr auto delay = std::chrono::milliseconds(5);
        const auto bytes = encode(answer);
        sendRaw(context, bytes);
        std::this_thread::sleep_for(delay);
        sendRaw(context, bytes);
    }
};

class EarlierSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &,
              const TargetAnswer &earlier) const override
    {
        sendRaw(context, encode(earlier));
    }
};

class CutSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        const auto bytes = encode(answer);
        sendRaw(context, std::string_view(bytes).substr(0, bytes.size() - answer.body.size() / 2));
        closeConnection(context);
    }
};

class CutChunkSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        // One complete chunk without the zero-length chunk that ends the body.
        constexpr std::string_view digits = "0123456789abcdef";
        std::string size;
        for (auto n = answer.body.size(); n > 0; n /= digits.size())
            size.insert(size.begin(), digits[n % digits.size()]);
        TargetAnswer chunk = answer;
        chunk.body = size + "\r\n" + answer.body + "\r\n";
        sendRaw(context, encode(chunk, "Transfer-Encoding: chunked\r\n"));
        closeConnection(context);
    }
};

class NoLengthSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        sendRaw(context, encode(answer, "Connection: close\r\n"));
        closeConnection(context);
    }
};

/** Sends both Content-Length and Transfer-Encoding, which a receiver must reject. */
class BothFramingsSender final : public AnswerSender
{
public:
    void send(const HttpExchangeContext &context, const TargetAnswer &answer,
              const TargetAnswer &) const override
    {
        sendRaw(context,
                encode(answer, lengthField(answer.body.size()) + "Transfer-Encoding: chunked\r\n"));
        closeConnection(context);
    }
};

const WholeSender wholeSender;
const ResetSender resetSender;
const TwiceSender twiceSender;
const TwiceLateSender twiceLateSender;
const EarlierSender earlierSender;
const CutSender cutSender;
const CutChunkSender cutChunkSender;
const NoLengthSender noLengthSender;
const BothFramingsSender bothFramingsSender;

} // namespace

std::span<const AnswerStyle> answerStyles()
{
    static const AnswerStyle styles[] = {
            {"whole", wholeSender},
            {"reset", resetSender},
            {"twice", twiceSender},
            {"twice-late", twiceLateSender},
            {"earlier", earlierSender},
            {"cut", cutSender},
            {"cut-chunk", cutChunkSender},
            {"no-length", noLengthSender},
            {"both-framings", bothFramingsSender},
    };
    return styles;
}

} // namespace Sapphireladder::Testbed
