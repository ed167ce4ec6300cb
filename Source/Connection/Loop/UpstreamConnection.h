#pragma once

#include "Connection/Loop/AnswerReader.h"
#include "Connection/Loop/LoopContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Sapphireladder {

/** One request as it goes to a target. */
struct UpstreamRequest
{
    /** The encoded request. */
    std::string bytes;
    /** The method forbids a body in the answer. */
    bool isBodyless = false;
    /** Largest body of the answer in bytes. */
    std::size_t bodyLimit = mebibyte;
    /**
     * Tells whether an answer belongs to the request. One that doesn't is dropped, and the next
     * one is waited for. Empty takes any answer.
     */
    std::function<bool(const Response &)> isOwnAnswer;
};

/** A connection that this VM opened. It carries one request at a time. */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /** Called when a request ended. The connection can then be reused if isReusable(). */
    using EndHandler = std::function<void(AttemptResult result)>;

    /** @param context outlives the connection */
    explicit UpstreamConnection(LoopContext &context);

    /**
     * Sends a request, once the connection is open.
     * @param timeout time until the whole answer, opening included
     * @param handler called once, from the loop; not after close()
     */
    void exchange(UpstreamRequest request, Duration timeout, EndHandler handler);
    /**
     * Opens the connection.
     * @param connectTimeout time after which an attempt that waits for it ends as not run
     * @param silenceLimit time without an acknowledgement after which the connection fails
     */
    void open(const TcpEndpoint &endpoint, Duration connectTimeout, Duration silenceLimit);
    /** Closes the connection at once. A request in work gets no end. */
    void close();

    /** @return whether another request may be sent. */
    bool isReusable() const { return m_state == State::Idle; }
    bool isClosed() const { return m_state == State::Closed; }
    /** @return when the last whole answer ended, or nothing before the first. */
    std::optional<TimePoint> lastAnswerAt() const { return m_lastAnswerAt; }
    /** @return how long the peer keeps the connection open while it is idle, if it said so. */
    std::optional<Duration> idleTimeout() const { return m_idleTimeout; }

private:
    enum class State : std::uint8_t {
        Connecting,
        Idle,
        Busy,
        Closed,
    };

    void opened(const boost::system::error_code &ec);
    void sendRequest();
    void requestSent(const boost::system::error_code &ec, std::size_t size);
    void waitForInput();
    void receive();
    void handleInput(std::string_view input);
    void peerEnded(const boost::system::error_code &ec);
    void answerComplete(std::string_view rest);
    void timedOut();
    void fail(AttemptResult result);
    void finish(AttemptResult result);
    void shutDown();

    LoopContext &m_context;
    TcpSocket m_socket;
    LoopTimer m_timer;
    State m_state = State::Connecting;
    std::optional<UpstreamRequest> m_request;
    EndHandler m_handler;
    std::optional<AnswerReader> m_reader;
    bool m_isSent = false;
    bool m_hadForeignAnswer = false;
    std::optional<TimePoint> m_deadline;
    std::optional<TimePoint> m_lastAnswerAt;
    std::optional<Duration> m_idleTimeout;
};

} // namespace Sapphireladder
