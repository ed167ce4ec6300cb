#pragma once

#include "Connection/Http/ConnectionHttp.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace Sapphireladder::Tests {

/** A TCP connection on which tests send and read raw bytes. */
class RawSocket
{
public:
    /** @param isStopping ends reads when it becomes true; must outlive the object */
    RawSocket(const Poco::Net::StreamSocket &socket, const std::atomic<bool> &isStopping)
        : m_socket(socket)
        , m_isStopping(&isStopping)
    {}
    explicit RawSocket(const Endpoint &endpoint)
        : m_socket(Poco::Net::SocketAddress(endpoint.host, endpoint.port))
    {}

    /** @return whether the kernel accepted the bytes. */
    bool send(std::string_view text);
    /** Reads up to and including the text, or until the peer closes or the timeout expires. */
    std::string readUntil(std::string_view text, Duration timeout = std::chrono::seconds(20));
    /** Reads until the peer closes, or until the timeout of 20 s expires. */
    std::string readAll();
    /** Reads one response with the body that its Content-Length announces. */
    std::string readResponse();
    /** Closes the connection with a TCP reset. */
    void reset();
    void closeSending() { m_socket.shutdownSend(); }

private:
    /** Reads until the condition is met. @return false on close, reset or timeout. */
    bool receiveUntil(const std::function<bool()> &condition, Duration timeout);
    std::string take(std::size_t size);

    Poco::Net::StreamSocket m_socket;
    const std::atomic<bool> *m_isStopping = nullptr;
    std::string m_received;
};

/** A server that runs a script for each connection, on a thread of its own. */
class ScriptedServer
{
public:
    /** Script for one connection. @param number 0 for the first connection */
    using Script = std::function<void(RawSocket &socket, unsigned number)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();

    Endpoint endpoint() const;
    unsigned connectionCount() const { return m_count; }

private:
    void acceptLoop();

    Script m_script;
    Poco::Net::ServerSocket m_socket;
    std::atomic<bool> m_isStopping{false};
    std::atomic<unsigned> m_count{0};
    std::list<std::thread> m_threads;
    std::thread m_acceptThread;
};

/** @return an encoded 200 response with the body. */
std::string encodeOkResponse(std::string_view body);

/** Polls a condition. @return whether it became true before the timeout. */
bool eventually(const std::function<bool()> &condition,
                Duration timeout = std::chrono::seconds(20));

} // namespace Sapphireladder::Tests
