#pragma once

#include "Connection/Connection.h"
#include "Connection/Loop/LoopContext.h"
#include "Connection/Loop/RequestReader.h"
#include "Version/Version.h"

#include <functional>
#include <memory>
#include <string>

namespace Sapphireladder {

/** The reply to a request of a caller. */
struct CallerReply
{
    RequestOutcome outcome;
    /** Additional header fields of a response that does not come from a target. */
    std::vector<HeaderField> fields;
};

/** Handle of a request that is being processed. */
class PendingRequestHandle
{
public:
    virtual ~PendingRequestHandle() = default;
    /** Aborts the request because the caller has disconnected. The reply handler is not called. */
    virtual void cancel() = 0;
    /** Ends the request now, with the reply that it would get at its deadline. */
    virtual void expire() {}
};

/** Handles the requests of callers. Used by the thread of the event loop only. */
class RequestHandler
{
public:
    using ReplyHandler = std::function<void(CallerReply reply)>;

    virtual ~RequestHandler() = default;
    /**
     * Starts processing a request.
     * @param reply called once, possibly before the function returns
     */
    virtual std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                         ReplyHandler reply) = 0;
    /** Called when the session has refused an invalid request itself. */
    virtual void recordInvalidRequest(RefusalReason reason) = 0;
    /**
     * @param head the request without its body
     * @return whether handle() refuses the request whatever its body is.
     */
    virtual bool refusesHead(const CallerRequest &) const { return false; }
    /** @return the limits in force for requests. */
    virtual const RequestLimits &limits() const = 0;
    /** @return whether sessions close their connection after the next response. */
    virtual bool isStopping() const = 0;
};

class CallerSession;

/** Owner of the open caller sessions. */
class SessionRegistry
{
public:
    virtual ~SessionRegistry() = default;
    virtual void sessionEnded(const std::shared_ptr<CallerSession> &session) = 0;
};

/** Server side of one caller connection. Processes one request at a time. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /** All references must outlive the session. */
    CallerSession(LoopContext &context, TcpSocket socket, RequestHandler &handler,
                  SessionRegistry &registry);

    void start();
    /** Closes the connection unless isBusy() or input is waiting to be read. */
    void closeIfIdle();
    /** Ends the request that is being served, with the reply that it would get at its deadline. */
    void expire();
    /** @return whether a request is being read or served, or a response being written. */
    bool isBusy() const;
    /** @return when the caller last sent or took something. */
    TimePoint activeAt() const { return m_activeAt; }
    /** @return whether the connection may be closed in favour of another: it serves no request. */
    bool isSheddable() const;
    /** Closes the connection at once. */
    void close();

private:
    enum class State : std::uint8_t {
        Reading,
        Serving,
        Writing,
        /** The last response was sent; input is discarded until the caller closes. */
        Lingering,
        Closed,
    };

    bool hasUnreadInput() const;
    void waitForInput();
    void handleReadable();
    /** Parses input of a request. Keeps what follows the request as input sent ahead. */
    void processInput(std::string_view input);
    /** @param isWithinBudget whether the buffer budget allows the request */
    void handleProgress(ReadProgress progress, bool isWithinBudget);
    void startReading();
    /** The head is complete and the body is not. */
    void awaitBody();
    /** @return how much may be read at once, so that input behind a request stays limited. */
    std::size_t maxInputBytes() const;
    /** Waits for input again, unless enough of it is buffered behind the request in progress. */
    void resumeReading();
    /** Keeps input behind the request that is being served. */
    void receiveAhead(std::string_view input);
    void discard(std::size_t bytes);
    /** The part of a request that has been received. */
    enum class RequestPart : std::uint8_t { Head, Whole };
    void serve(RequestPart part);
    void refuse(RefusalReason reason);
    void reply(CallerReply reply);
    void write(EncodedOutcome message);
    void writeSome();
    void handleWritten();
    void releaseOutput();
    void linger();
    void handleTimeout();
    /** Ends the request or the response because it takes memory that others need. */
    void handleEviction();

    LoopContext &m_context;
    TcpSocket m_socket;
    LoopTimer m_timer;
    /** Memory of the request until it is answered, then of the unsent part of the response. */
    BufferReservation m_buffered;
    RequestHandler &m_handler;
    SessionRegistry &m_registry;
    State m_state = State::Reading;
    /** Input behind the request that is being served. */
    std::string m_input;
    bool m_isReadPaused = false;
    std::optional<RequestReader> m_reader;
    TimePoint m_arrivedAt{};
    TimePoint m_activeAt{};
    /** Rate of the transfer of a request body or a response. */
    std::optional<TransferRate> m_rate;
    /** Memory of the request that is being served. */
    std::size_t m_requestBytes = 0;
    std::size_t m_discardedBytes = 0;
    TimePoint m_lingerEnd{};
    bool m_shouldCloseAfterResponse = false;
    bool m_isHeadRequest = false;
    std::shared_ptr<PendingRequestHandle> m_pending;
    EncodedOutcome m_output;
    std::size_t m_sentBytes = 0;
};

} // namespace Sapphireladder
