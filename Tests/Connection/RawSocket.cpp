#include "Connection/RawSocket.h"

#include <Poco/Exception.h>

namespace Sapphireladder::Tests {

bool RawSocket::send(std::string_view text)
{
    try {
        m_socket.sendBytes(text.data(), static_cast<int>(text.size()));
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

std::string RawSocket::readUntil(std::string_view text, Duration timeout)
{
    const bool found = receiveUntil([&] { return m_received.find(text) != std::string::npos; },
                                    timeout);
    return take(found ? m_received.find(text) + text.size() : m_received.size());
}

std::string RawSocket::readAll()
{
    receiveUntil([] { return false; }, std::chrono::seconds(20));
    return take(m_received.size());
}

std::string RawSocket::readResponse()
{
    static constexpr std::string_view field = "Content-Length: ";
    auto response = readUntil("\r\n\r\n");
    const auto at = response.find(field);
    if (at == std::string::npos)
        return response;
    const auto length = std::stoul(response.substr(at + field.size()));
    receiveUntil([&] { return m_received.size() >= length; }, std::chrono::seconds(20));
    return response + take(length);
}

bool RawSocket::receiveUntil(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = SteadyClock().now() + timeout;
    char buf[16384];
    try {
        while (!condition()) {
            if (SteadyClock().now() >= deadline || (m_isStopping && *m_isStopping))
                return false;
            if (!m_socket.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ))
                continue;
            const int n = m_socket.receiveBytes(buf, sizeof buf);
            if (n == 0)
                return false;
            m_received.append(buf, static_cast<std::size_t>(n));
        }
        return true;
    } catch (const Poco::Exception &) {
        // A reset ends the input, as a close does.
        return false;
    }
}

std::string RawSocket::take(std::size_t size)
{
    auto text = m_received.substr(0, size);
    m_received.erase(0, size);
    return text;
}

void RawSocket::reset()
{
    m_socket.setLinger(true, 0);
    m_socket.close();
}

ScriptedServer::ScriptedServer(Script script)
    : m_script(std::move(script))
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_acceptThread([this] { acceptLoop(); })
{}

ScriptedServer::~ScriptedServer()
{
    m_isStopping = true;
    m_acceptThread.join();
    for (auto &it : m_threads)
        it.join();
}

Endpoint ScriptedServer::endpoint() const
{
    return {"127.0.0.1", m_socket.address().port()};
}

void ScriptedServer::acceptLoop()
{
    while (!m_isStopping) {
        if (!m_socket.poll(Poco::Timespan(0, 20000), Poco::Net::Socket::SELECT_READ))
            continue;
        const auto number = m_count++;
        m_threads.emplace_back([this, number, socket = m_socket.acceptConnection()] {
            RawSocket raw(socket, m_isStopping);
            m_script(raw, number);
        });
    }
}

std::string encodeOkResponse(std::string_view body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
           + std::string(body);
}

bool eventually(const std::function<bool()> &condition, Duration timeout)
{
    const auto deadline = SteadyClock().now() + timeout;
    while (!condition()) {
        if (SteadyClock().now() >= deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

} // namespace Sapphireladder::Tests
