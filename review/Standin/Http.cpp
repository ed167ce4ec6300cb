#include "Http.h"

#include <algorithm>
#include <cstdlib>
#include <strings.h>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

sockaddr_in loopbackAddress(unsigned port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int bindToFreePort(unsigned &port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopbackAddress(0);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        std::exit(2);
    port = ntohs(address.sin_port);
    return fd;
}

void disableDelay(int fd)
{
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

/** Parses the lines of a head, without the empty line that ends it. */
HttpMessage parseHead(std::string_view head)
{
    HttpMessage message;
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        const auto line = head.substr(0, end);
        head.remove_prefix(end == std::string_view::npos ? head.size() : end + 2);
        if (message.startLine.empty()) {
            message.startLine = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        auto value = line.substr(colon + 1);
        while (value.starts_with(' '))
            value.remove_prefix(1);
        message.fields.emplace_back(line.substr(0, colon), value);
    }
    return message;
}

} // namespace

std::string HttpMessage::field(std::string_view name) const
{
    const auto it = std::find_if(fields.begin(), fields.end(), [name](const auto &field) {
        return field.first.size() == name.size()
               && ::strncasecmp(field.first.data(), name.data(), name.size()) == 0;
    });
    return it == fields.end() ? std::string() : it->second;
}

std::string HttpMessage::target() const
{
    const auto start = startLine.find(' ') + 1;
    return startLine.substr(start, startLine.find(' ', start) - start);
}

int HttpMessage::status() const
{
    const auto start = startLine.find(' ');
    return start == std::string::npos ? 0 : std::atoi(startLine.c_str() + start + 1);
}

HttpConnection::HttpConnection(int fd)
    : m_fd(fd)
{
    disableDelay(fd);
}

HttpConnection::~HttpConnection()
{
    ::close(m_fd);
}

bool HttpConnection::waitForInput(Clock::time_point deadline) const
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    pollfd entry{m_fd, POLLIN, 0};
    return left > 0 && ::poll(&entry, 1, static_cast<int>(left)) > 0;
}

ReadResult HttpConnection::read(HttpMessage &message, Milliseconds timeout)
{
    constexpr std::string_view headEnd = "\r\n\r\n";
    const auto deadline = Clock::now() + timeout;
    while (true) {
        const auto end = m_buffer.find(headEnd);
        if (end != std::string::npos) {
            auto parsed = parseHead(std::string_view(m_buffer).substr(0, end));
            const auto bodySize = std::strtoul(parsed.field("Content-Length").c_str(), nullptr, 10);
            const auto size = end + headEnd.size() + bodySize;
            if (m_buffer.size() >= size) {
                parsed.body = m_buffer.substr(end + headEnd.size(), bodySize);
                m_buffer.erase(0, size);
                message = std::move(parsed);
                return ReadResult::Complete;
            }
        }
        if (!waitForInput(deadline))
            return ReadResult::TimedOut;
        char block[16384];
        const auto n = ::recv(m_fd, block, sizeof block, 0);
        if (n <= 0)
            return ReadResult::Closed;
        m_buffer.append(block, static_cast<std::size_t>(n));
    }
}

bool HttpConnection::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool HttpConnection::isClosedByPeer() const
{
    char byte = 0;
    return ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void HttpConnection::discardInput()
{
    char block[4096];
    while (::recv(m_fd, block, sizeof block, 0) > 0) {
    }
}

HttpServer::HttpServer(Handler handler)
{
    constexpr int backlog = 512;
    const int listener = bindToFreePort(m_port);
    if (::listen(listener, backlog) != 0)
        std::exit(2);
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([fd, handler] {
                HttpConnection connection(fd);
                handler(connection);
            }).detach();
        }
    }).detach();
}

std::unique_ptr<HttpConnection> connectTo(unsigned port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopbackAddress(port);
    if (fd < 0)
        return nullptr;
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return nullptr;
    }
    return std::make_unique<HttpConnection>(fd);
}

unsigned findFreePort()
{
    // Below the range from which the kernel takes the ports of outgoing connections.
    constexpr unsigned firstPort = 20000;
    constexpr unsigned lastPort = 32000;
    static unsigned next = firstPort + static_cast<unsigned>(::getpid()) % (lastPort - firstPort);
    while (true) {
        next = next < lastPort ? next + 1 : firstPort;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopbackAddress(next);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                            == 0;
        ::close(fd);
        if (isFree)
            return next;
    }
}

std::string encodeField(std::string_view name, std::string_view value)
{
    return std::string(name).append(": ").append(value).append("\r\n");
}

std::string encodeResponse(int status, std::string_view fields, std::string_view body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    text.append(fields).append("Content-Length: ").append(std::to_string(body.size()));
    text.append("\r\n\r\n").append(body);
    return text;
}

} // namespace Review
