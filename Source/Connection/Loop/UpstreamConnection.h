#pragma once

#include "Connection/Loop/LoopContext.h"
#include "Connection/Loop/ResponseReader.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sapphireladder {

/** Whose response a response is. */
enum class ResponseOrigin : std::uint8_t {
    /** It responds to the request. */
    Own,
    /** It responds to another request. */
    Other,
    /** It does not tell. It may be a late copy of a response to an earlier request. */
    Unidentified,
};

/** An encoded request to an upstream and the rules for its response. */
struct UpstreamRequest
{
    /** The encoded head, and the body unless it is shared. */
    std::string bytes;
    /** Body that is sent after the bytes, shared with other attempts; null if there is none. */
    std::shared_ptr<const std::string> body;
    /** Whether the method forbids a body in the response. */
    bool isBodyless = false;
    std::size_t maxResponseBodyBytes = mebibyte;
    /**
     * Returns whose response a response is. One to another request is discarded, and the next one
     * is awaited. So is an unidentified one, unless the connection has carried no other request.
     * If the function is empty, any response is accepted.
     */
    std::function<ResponseOrigin(const Response &)> originOf;
};

/** Client side of one connection to an upstream. Carries one request at a time. */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /** Called with the result of a request. By then isReusable() is up to date. */
    using CompletionHandler = std::function<void(AttemptResult result)>;

    /** @param context must outlive the connection */
    explicit UpstreamConnection(LoopContext &context);

    /**
     * Sends a request as soon as the connection is open.
     * @param timeout time until the response is complete, including the time to connect
     * @param handler called once, from the event loop; not after close()
     */
    void exchange(UpstreamRequest request, Duration timeout, CompletionHandler handler);
    /**
     * Opens the connection.
     * @param connectTimeout time after which connecting fails and a pending request ends as NotRun
     * @param ackTimeout time without an acknowledgement after which the connection fails
     */
    void open(const TcpEndpoint &endpoint, Duration connectTimeout, Duration ackTimeout);
    /** Closes the connection at once, without calling the handler of a pending request. */
    void close();

    /** @return whether another request may be sent. */
    bool isReusable() const { return m_state == State::Idle; }
    bool isConnecting() const { return m_state == State::Connecting; }
    bool isClosed() const { return m_state == State::Closed; }
    /** @return when the last complete response ended, or nothing before the first. */
    std::optional<TimePoint> lastResponseAt() const { return m_lastResponseAt; }
    /** @return the idle timeout that the peer announced in its last response, if any. */
    std::optional<Duration> idleTimeout() const { return m_idleTimeout; }

private:
    enum class State : std::uint8_t {
        Connecting,
        Idle,
        Busy,
        Closed,
    };

    void handleConnected(const boost::system::error_code &ec);
    void sendRequest();
    void handleSent(const boost::system::error_code &ec, std::size_t size);
    void waitForInput();
    void handleReadable();
    void handleInput(std::string_view input);
    void handleDisconnect(const boost::system::error_code &ec);
    /** @return whether the end of the input completes a response without a length. */
    bool isWholeByClose(const boost::system::error_code &ec);
    void handleResponse(std::string_view rest);
    /** @return whether a response belongs to the request in progress. */
    bool isOwnResponse(const Response &response) const;
    void handleTimeout();
    /** Ends the request because its response holds the most of an exhausted buffer budget. */
    void handleEviction();
    void fail(AttemptResult result);
    void complete(AttemptResult result);
    void closeSocket();

    LoopContext &m_context;
    TcpSocket m_socket;
    LoopTimer m_timer;
    State m_state = State::Connecting;
    std::optional<UpstreamRequest> m_request;
    CompletionHandler m_handler;
    std::optional<ResponseReader> m_reader;
    BufferReservation m_buffered;
    bool m_isRequestSent = false;
    /** Number of requests sent on the connection. */
    unsigned m_requestCount = 0;
    unsigned m_mismatchedCount = 0;
    std::optional<TimePoint> m_deadline;
    std::optional<TimePoint> m_lastResponseAt;
    std::optional<Duration> m_idleTimeout;
};

} // namespace Sapphireladder
