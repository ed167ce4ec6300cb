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

/** A connection that sends and reads exactly the bytes that a test says. */
class RawSocket
{
public:
    /** @param stopping ends reads when it is set; outlives the object */
    RawSocket(const Poco::Net::StreamSocket &socket, const std::atomic<bool> &stopping)
        : m_socket(socket)
        , m_stopping(&stopping)
    {}
    explicit RawSocket(const Endpoint &endpoint)
        : m_socket(Poco::Net::SocketAddress(endpoint.host, endpoint.port))
    {}

    /** @return whether the bytes were taken by the kernel. */
    bool send(std::string_view text);
    /** Reads until the text was seen, the peer closed or the time is up. @return what was read. */
    std::string readUntil(std::string_view text, Duration timeout = std::chrono::seconds(20));
    /** @return everything up to the peer's close. */
    std::string readAll();
    /** Reads one answer and its body of the stated length. */
    std::string readAnswer();
    /** Closes with a reset. */
    void reset();
    void closeSending() { m_socket.shutdownSend(); }

private:
    /** Reads until the condition holds. @return whether it does. */
    bool fillUntil(const std::function<bool()> &condition, Duration timeout);
    std::string take(std::size_t size);

    Poco::Net::StreamSocket m_socket;
    const std::atomic<bool> *m_stopping = nullptr;
    std::string m_read;
};

/** A server whose connections each follow a script on a thread of their own. */
class ScriptedServer
{
public:
    /** The script of one connection. @param number 0 for the first connection */
    using Script = std::function<void(RawSocket &socket, unsigned number)>;

    explicit ScriptedServer(Script script);
    ~ScriptedServer();

    Endpoint endpoint() const;
    unsigned connectionCount() const { return m_count; }

private:
    void acceptLoop();

    Script m_script;
    Poco::Net::ServerSocket m_socket;
    std::atomic<bool> m_stopping{false};
    std::atomic<unsigned> m_count{0};
    std::list<std::thread> m_threads;
    std::thread m_acceptThread;
};

/** A request that was read whole. @return a whole answer with the body. */
std::string wholeAnswer(std::string_view body);

/** Polls a condition. @return whether it became true in time. */
bool eventually(const std::function<bool()> &condition,
                Duration timeout = std::chrono::seconds(20));

} // namespace Sapphireladder::Tests
