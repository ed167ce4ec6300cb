#pragma once

#include "PlatformNames.inc"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** A request or a response. */
struct HttpMessage
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /** @return the value of a header field, or an empty text. */
    std::string field(std::string_view name) const;
    /** @return the request target of a request. */
    std::string target() const;
    /** @return the status of a response, or 0. */
    int status() const;
};

/** How reading a message ended. */
enum class ReadResult : unsigned char {
    Complete,
    /** The peer closed or reset the connection. */
    Closed,
    TimedOut,
};

/** One end of a TCP connection on the loopback interface. */
class HttpConnection
{
public:
    explicit HttpConnection(int fd);
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;
    ~HttpConnection();

    /** Reads one message with a Content-Length, or without a body. */
    ReadResult read(HttpMessage &message, Milliseconds timeout);
    /** @return whether all bytes were handed to the kernel. */
    bool write(std::string_view bytes);
    /** @return whether the peer has closed or reset the connection. */
    bool isClosedByPeer() const;
    /** Discards input until the peer closes. */
    void discardInput();

private:
    bool waitForInput(Clock::time_point deadline) const;

    int m_fd;
    std::string m_buffer;
};

/** Accepts connections on a free port of 127.0.0.1 and serves each one on a thread of its own. */
class HttpServer
{
public:
    using Handler = std::function<void(HttpConnection &connection)>;

    /** The server lives until the process ends. */
    explicit HttpServer(Handler handler);

    unsigned port() const { return m_port; }

private:
    unsigned m_port = 0;
};

/** @return a connection to a port of 127.0.0.1, or null. */
std::unique_ptr<HttpConnection> connectTo(unsigned port);
/** @return a port of 127.0.0.1 that is free now. */
unsigned findFreePort();
/** @return a line of a head, with its end. */
std::string encodeField(std::string_view name, std::string_view value);
/** Encodes a response with a Content-Length. @param fields complete lines, each with its end */
std::string encodeResponse(int status, std::string_view fields, std::string_view body);

} // namespace Review
