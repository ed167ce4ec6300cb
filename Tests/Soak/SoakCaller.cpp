#include "Soak/SoakCaller.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace Sapphireladder::Soak {

namespace {

/** Deadline that a caller states in its requests, in milliseconds. */
constexpr int requestTimeoutMs = 3000;
/** Longer than the deadline, so that a response sent just before the deadline still arrives. */
const Poco::Timespan receiveTimeout(4, 0);
const Poco::Timespan connectTimeout(1, 0);

/** @return the value of a header field, or nothing. */
std::optional<std::string> headerValue(const std::string &head, const std::string &name)
{
    const auto key = "\r\n" + name + ": ";
    const auto at = head.find(key);
    if (at == std::string::npos)
        return std::nullopt;
    const auto from = at + key.size();
    return head.substr(from, head.find("\r\n", from) - from);
}

} // namespace

bool SoakCaller::connect()
{
    try {
        m_socket.emplace();
        m_socket->connect(Poco::Net::SocketAddress(m_gateway.host, m_gateway.port), connectTimeout);
        m_socket->setReceiveTimeout(receiveTimeout);
        return true;
    } catch (const Poco::Exception &) {
        m_socket.reset();
        return false;
    }
}

CallRecord SoakCaller::call(const std::string &id, const std::string &path, bool isIdempotent)
{
    CallRecord record{id, isIdempotent, 0, false, false, false, SteadyClock().now(), {}, {}};
    if (!m_socket && !connect())
        return record;
    const std::string method = isIdempotent ? "GET " : "POST ";
    auto text = method + path + " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: " + std::to_string(requestTimeoutMs) + "\r\n";
    text += isIdempotent ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
    try {
        m_socket->sendBytes(text.data(), static_cast<int>(text.size()));
        record.isSent = true;
        receive(record);
    } catch (const Poco::Exception &) {
        record.status = 0;
    }
    record.endedAt = SteadyClock().now();
    if (record.status == 0)
        m_socket.reset();
    return record;
}

bool SoakCaller::readMore(std::string &input)
{
    std::array<char, 16384> buf{};
    const int size = m_socket->receiveBytes(buf.data(), static_cast<int>(buf.size()));
    if (size > 0)
        input.append(buf.data(), static_cast<std::size_t>(size));
    return size > 0;
}

void SoakCaller::receive(CallRecord &record)
{
    std::string input;
    std::size_t headEnd = std::string::npos;
    while ((headEnd = input.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(input))
            return;
    }
    const auto head = input.substr(0, headEnd + 2);
    const auto length = std::stoul(headerValue(head, "Content-Length").value_or("0"));
    auto body = input.substr(headEnd + 4);
    while (body.size() < length) {
        if (!readMore(body))
            return;
    }
    constexpr std::size_t statusAt = 9;
    record.status = static_cast<unsigned>(std::stoul(head.substr(statusAt, 3)));
    record.isSigned = headerValue(head, "Server-Signature").has_value();
    record.matchesRequest = headerValue(head, "Attempt-Id").value_or(record.id) == record.id
                            && body.size() == length;
    record.body = std::move(body);
    if (equalsIgnoringCase(headerValue(head, "Connection").value_or(""), "close"))
        m_socket.reset();
}

} // namespace Sapphireladder::Soak
