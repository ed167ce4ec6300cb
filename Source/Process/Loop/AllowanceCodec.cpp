#include "Process/Loop/ProcessLoop.h"

#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>

namespace Sapphireladder {

namespace {

using Json = nlohmann::json;

constexpr unsigned formatVersion = 1;
/** Longest datagram that is decoded. The name of a workspace is the only part without a limit. */
constexpr std::size_t maxMessageBytes = kibibyte;
/** Most tokens in one request; a VM has fewer connections. */
constexpr std::uint64_t maxTokens = 100'000;
/** Elements before those of the message: version and type. */
constexpr std::size_t headSize = 2;

/** Type of a message: its position in AllowanceMessage. */
Json makeHead(const AllowanceMessage &message)
{
    return Json::array({formatVersion, message.index()});
}

std::int64_t microseconds(Duration duration)
{
    return duration_cast<std::chrono::microseconds>(duration).count();
}

struct Encoder
{
    Json array;

    void operator()(const DelegateMessage &it)
    {
        array.insert(array.end(), {it.key.owner, it.key.slot, it.sequence, it.collector,
                                   it.collectorTime.count(), it.share});
    }
    void operator()(const DelegateAnswer &it)
    {
        array.insert(array.end(), {it.slot, it.sequence, it.collector, it.collectorTime.count()});
    }
    void operator()(const TokenRequest &it)
    {
        array.insert(array.end(), {it.sender, it.id, it.workspace, it.count});
    }
    void operator()(const TokenAnswer &it)
    {
        array.insert(array.end(),
                     {it.id, it.count, microseconds(it.emptyFor), microseconds(it.retryAfter)});
    }
};

/** Reads the elements of a message one after another. */
class ElementReader
{
public:
    ElementReader(const Json &array, std::size_t count)
        : m_array(array)
        , m_isValid(array.size() == headSize + count)
    {}

    std::uint64_t number(std::uint64_t max = std::numeric_limits<std::uint64_t>::max())
    {
        const auto *it = next();
        if (!it || !it->is_number_unsigned() || it->get<std::uint64_t>() > max)
            return fail(std::uint64_t{0});
        return it->get<std::uint64_t>();
    }
    Duration nanoseconds()
    {
        constexpr auto max = std::numeric_limits<std::int64_t>::max() / 2;
        return Duration(static_cast<std::int64_t>(number(max)));
    }
    Duration shortTime()
    {
        constexpr std::uint64_t maxMicroseconds = 3'600'000'000;
        return std::chrono::microseconds(number(maxMicroseconds));
    }
    double share()
    {
        const auto *it = next();
        if (!it || !it->is_number() || !(it->get<double>() >= 0) || it->get<double>() > 1)
            return fail(0.0);
        return it->get<double>();
    }
    std::string text()
    {
        const auto *it = next();
        if (!it || !it->is_string())
            return fail(std::string());
        return it->get<std::string>();
    }
    bool isValid() const { return m_isValid; }

private:
    const Json *next() { return m_isValid ? &m_array[m_position++] : nullptr; }
    template<typename T>
    T fail(T value)
    {
        m_isValid = false;
        return value;
    }

    const Json &m_array;
    bool m_isValid;
    std::size_t m_position = headSize;
};

constexpr std::uint64_t maxSlot = AllowanceClient::slotCount - 1;

std::optional<AllowanceMessage> decodeDelegateMessage(const Json &array)
{
    ElementReader reader(array, 6);
    DelegateMessage message;
    message.key.owner = reader.number();
    message.key.slot = static_cast<unsigned>(reader.number(maxSlot));
    message.sequence = reader.number();
    message.collector = reader.number();
    message.collectorTime = reader.nanoseconds();
    message.share = reader.share();
    return reader.isValid() ? std::optional<AllowanceMessage>(message) : std::nullopt;
}

std::optional<AllowanceMessage> decodeDelegateAnswer(const Json &array)
{
    ElementReader reader(array, 4);
    DelegateAnswer answer;
    answer.slot = static_cast<unsigned>(reader.number(maxSlot));
    answer.sequence = reader.number();
    answer.collector = reader.number();
    answer.collectorTime = reader.nanoseconds();
    return reader.isValid() ? std::optional<AllowanceMessage>(answer) : std::nullopt;
}

std::optional<AllowanceMessage> decodeTokenRequest(const Json &array)
{
    ElementReader reader(array, 4);
    TokenRequest request;
    request.sender = reader.number();
    request.id = reader.number();
    request.workspace = reader.text();
    request.count = static_cast<unsigned>(reader.number(maxTokens));
    return reader.isValid() ? std::optional<AllowanceMessage>(std::move(request)) : std::nullopt;
}

std::optional<AllowanceMessage> decodeTokenAnswer(const Json &array)
{
    ElementReader reader(array, 4);
    TokenAnswer answer;
    answer.id = reader.number();
    answer.count = static_cast<unsigned>(reader.number(maxTokens));
    answer.emptyFor = reader.shortTime();
    answer.retryAfter = reader.shortTime();
    return reader.isValid() ? std::optional<AllowanceMessage>(answer) : std::nullopt;
}

using Decoder = std::optional<AllowanceMessage> (*)(const Json &array);
/** In the order of the types in AllowanceMessage. */
constexpr std::array<Decoder, std::variant_size_v<AllowanceMessage>> decoders = {
        decodeDelegateMessage, decodeDelegateAnswer, decodeTokenRequest, decodeTokenAnswer};

} // namespace

std::string encodeAllowanceMessage(const AllowanceMessage &message)
{
    Encoder encoder{makeHead(message)};
    std::visit(encoder, message);
    std::string bytes;
    Json::to_cbor(encoder.array, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::optional<AllowanceMessage> decodeAllowanceMessage(std::string_view bytes)
{
    if (bytes.size() > maxMessageBytes)
        return std::nullopt;
    const auto array = Json::from_cbor(bytes, true, false);
    if (!array.is_array() || array.size() < headSize || array[0] != formatVersion
        || !array[1].is_number_unsigned())
        return std::nullopt;
    const auto type = array[1].get<std::uint64_t>();
    return type < decoders.size() ? decoders[type](array) : std::nullopt;
}

} // namespace Sapphireladder
