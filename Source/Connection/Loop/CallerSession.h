#pragma once

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
    void processInput();
    void serve();
    void refuse(RefusalReason reason);
    void reply(CallerReply reply);
    void write(std::string bytes);
    void handleWritten(const boost::system::error_code &ec);
    void linger();
    void handleTimeout();
    void close();

    LoopContext &m_context;
    TcpSocket m_socket;
    LoopTimer m_timer;
    /** Size of the request, from its first byte until the response is written. */
    BufferReservation m_buffered;
    RequestHandler &m_handler;
    SessionRegistry &m_registry;
    State m_state = State::Reading;
    std::string m_input;
    bool m_isReadPaused = false;
    std::optional<RequestReader> m_reader;
    TimePoint m_arrivedAt{};
    bool m_shouldCloseAfterResponse = false;
    bool m_isHeadRequest = false;
    std::shared_ptr<PendingRequestHandle> m_pending;
    std::string m_output;
};

} // namespace Sapphireladder
