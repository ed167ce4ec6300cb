#pragma once

#include "Connection/Loop/LoopContext.h"
#include "Connection/Loop/RequestReader.h"
#include "Version/Version.h"

#include <functional>
#include <memory>
#include <string>

namespace Sapphireladder {

/** What a caller is told. */
struct CallerReply
{
    RequestOutcome outcome;
    /** Fields of an answer that no target gave. */
    std::vector<HeaderField> fields;
};

/** A request in work. */
class PendingRequestHandle
{
public:
    virtual ~PendingRequestHandle() = default;
    /** The caller has left: ends the work. No reply is given any more. */
    virtual void cancel() = 0;
};

/** Serves the requests of callers. Used by the loop's thread only. */
class RequestHandler
{
public:
    using ReplyHandler = std::function<void(CallerReply reply)>;

    virtual ~RequestHandler() = default;
    /**
     * Starts the work on a request.
     * @param reply called once, maybe before the function returns
     */
    virtual std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                         ReplyHandler reply) = 0;
    /** A request was refused because it is not valid. */
    virtual void inputRefused(RefusalReason reason) = 0;
    /** @return what callers may send now. */
    virtual const RequestLimits &limits() const = 0;
    /** @return whether connections are closed after their next answer. */
    virtual bool isStopping() const = 0;
};

/** The connections that callers hold open. */
class CallerSession;
class SessionRegistry
{
public:
    virtual ~SessionRegistry() = default;
    virtual void sessionEnded(const std::shared_ptr<CallerSession> &session) = 0;
};

/** One connection of a caller. It serves one request at a time. */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    /** The references outlive the session. */
    CallerSession(LoopContext &context, TcpSocket socket, RequestHandler &handler,
                  SessionRegistry &registry);

    void start();
    /** Closes the connection if no request is being read or served. */
    void closeIfIdle();
    /** @return whether a request is being read or served, or its answer written. */
    bool isBusy() const;

private:
    enum class State : std::uint8_t {
        Reading,
        Serving,
        Writing,
        /** The last answer is out; input is dropped until the caller closes. */
        Lingering,
        Closed,
    };

    bool hasUnreadInput() const;
    void waitForInput();
    void receive();
    void processInput();
    void serve();
    void refuse(RefusalReason reason);
    void reply(CallerReply reply);
    void write(std::string bytes);
    void written(const boost::system::error_code &ec);
    void linger();
    void timedOut();
    void close();

    LoopContext &m_context;
    TcpSocket m_socket;
    LoopTimer m_timer;
    RequestHandler &m_handler;
    SessionRegistry &m_registry;
    State m_state = State::Reading;
    std::string m_input;
    bool m_isPaused = false;
    std::optional<RequestReader> m_reader;
    TimePoint m_arrivedAt{};
    bool m_closesAfterAnswer = false;
    bool m_isHead = false;
    std::shared_ptr<PendingRequestHandle> m_pending;
    std::string m_output;
};

} // namespace Sapphireladder
