#include "Crowd/Crowd.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <memory>
#include <thread>

#include <sys/socket.h>

namespace Sapphireladder::CrowdTests {

namespace {

using namespace std::chrono_literals;
using Poco::Net::SocketAddress;
using Poco::Net::StreamSocket;

/** Time without any byte sent after which the gateway counts as not reading any more. */
constexpr Duration sendIdleTime = 500ms;
/** Maximum time of sending. */
constexpr Duration maxSendTime = 8s;
/** Number of times that an ordinary caller tries. */
constexpr int maxTries = 5;

} // namespace

void Crowd::join(std::size_t count, std::string text)
{
    const auto shared = std::make_shared<const std::string>(std::move(text));
    for (std::size_t i = 0; i < count; ++i) {
        try {
            StreamSocket socket;
            socket.connect(SocketAddress(m_endpoint.host, m_endpoint.port), Poco::Timespan(1, 0));
            socket.setBlocking(false);
            m_members.push_back({socket, shared});
        } catch (const Poco::Exception &) {
            // The gateway may refuse the connections of a crowd.
        }
    }
}

std::size_t Crowd::sendPiece(Member &member, std::size_t pieceBytes)
{
    const auto rest = std::string_view(*member.text).substr(member.sentBytes, pieceBytes);
    if (rest.empty() || member.isBroken)
        return 0;
    const auto sent = ::send(member.socket.impl()->sockfd(), rest.data(), rest.size(),
                             MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent < 0) {
        member.isBroken = errno != EAGAIN && errno != EWOULDBLOCK;
        return 0;
    }
    member.sentBytes += static_cast<std::size_t>(sent);
    return static_cast<std::size_t>(sent);
}

void Crowd::send(std::size_t pieceBytes)
{
    const SteadyClock clock;
    const auto end = clock.now() + maxSendTime;
    auto lastSentAt = clock.now();
    while (clock.now() < end && clock.now() - lastSentAt < sendIdleTime) {
        bool isComplete = true;
        std::size_t sent = 0;
        for (auto &it : m_members) {
            sent += sendPiece(it, pieceBytes);
            isComplete = isComplete && (it.isBroken || it.sentBytes == it.text->size());
        }
        if (isComplete)
            return;
        if (sent > 0)
            lastSentAt = clock.now();
        else
            std::this_thread::sleep_for(5ms);
    }
}

void Crowd::readSome(std::size_t bytes)
{
    std::string buf(bytes, '\0');
    for (auto &it : m_members)
        static_cast<void>(::recv(it.socket.impl()->sockfd(), buf.data(), buf.size(), MSG_DONTWAIT));
}

void Crowd::closeSending()
{
    for (auto &it : m_members)
        ::shutdown(it.socket.impl()->sockfd(), SHUT_WR);
}

unsigned call(const Endpoint &endpoint, std::string_view request, long timeoutSeconds)
{
    static constexpr std::string_view statusLineStart = "HTTP/1.1 ";
    constexpr std::size_t statusDigits = 3;
    try {
        StreamSocket socket;
        socket.connect(SocketAddress(endpoint.host, endpoint.port), Poco::Timespan(1, 0));
        socket.setReceiveTimeout(Poco::Timespan(timeoutSeconds, 0));
        socket.setSendTimeout(Poco::Timespan(timeoutSeconds, 0));
        std::string text;
        for (auto rest = request; !rest.empty();) {
            const auto sent = socket.sendBytes(rest.data(), static_cast<int>(rest.size()));
            rest.remove_prefix(static_cast<std::size_t>(std::max(sent, 0)));
        }
        std::string buf(4096, '\0');
        while (text.size() < statusLineStart.size() + statusDigits) {
            const auto received = socket.receiveBytes(buf.data(), static_cast<int>(buf.size()));
            if (received <= 0)
                return 0;
            text.append(buf, 0, static_cast<std::size_t>(received));
        }
        if (!text.starts_with(statusLineStart))
            return 0;
        return static_cast<unsigned>(std::stoul(text.substr(statusLineStart.size(), statusDigits)));
    } catch (const Poco::Exception &) {
        return 0;
    }
}

bool isServed(const Endpoint &endpoint, std::string_view request, long timeoutSeconds)
{
    constexpr unsigned ok = 200;
    for (int i = 0; i < maxTries; ++i) {
        if (call(endpoint, request, timeoutSeconds) == ok)
            return true;
        std::this_thread::sleep_for(100ms);
    }
    return false;
}

} // namespace Sapphireladder::CrowdTests
