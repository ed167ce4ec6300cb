#include "Connection/Loop/ConnectionLoop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

namespace Sapphireladder {

namespace {

/** Maximum input buffered while a request is served. Reading pauses beyond it. */
constexpr std::size_t maxBufferedInputBytes = 64 * kibibyte;
/** Time that the caller has to read the last response and close. */
constexpr Duration lingerTime = std::chrono::seconds(1);
/** Time without an acknowledgement after which the caller counts as disconnected. Also the maximum
 * time to write a response. */
constexpr Duration callerAckTimeout = std::chrono::seconds(10);

} // namespace

CallerSession::CallerSession(LoopContext &context, TcpSocket socket, RequestHandler &handler,
                             SessionRegistry &registry)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_timer(context.io)
    , m_buffered(context.buffers)
    , m_handler(handler)
    , m_registry(registry)
{}

void CallerSession::start()
{
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    setSocketOptions(m_socket, callerAckTimeout);
    callAfter(m_timer, weak_from_this(), m_handler.limits().idleTimeout,
              &CallerSession::handleTimeout);
    waitForInput();
}

bool CallerSession::isBusy() const
{
    return m_state == State::Serving || m_state == State::Writing
           || (m_state == State::Reading && m_reader);
}

void CallerSession::closeIfIdle()
{
    // Input that the loop has not read yet may be a request, and must not be lost.
    if (m_state == State::Reading && !m_reader && !hasUnreadInput())
        linger();
}

void CallerSession::expire()
{
    if (const auto pending = m_pending)
        pending->expire();
}

bool CallerSession::hasUnreadInput() const
{
    boost::system::error_code ec;
    return m_socket.available(ec) > 0 && !ec;
}

void CallerSession::waitForInput()
{
    m_socket.async_wait(TcpSocket::wait_read, [self = shared_from_this()](const auto &ec) {
        if (self->m_state != State::Closed && !ec)
            self->handleReadable();
    });
}

void CallerSession::handleReadable()
{
    boost::system::error_code ec;
    const auto available = readAvailable(m_context, m_socket, ec);
    if (ec) {
        close();
        return;
    }
    if (m_state != State::Lingering)
        m_input += available;
    if (m_state == State::Reading)
        processInput();
    if (m_state == State::Closed)
        return;
    m_isReadPaused = m_input.size() >= maxBufferedInputBytes && m_state != State::Reading;
    if (!m_isReadPaused)
        waitForInput();
}

void CallerSession::processInput()
{
    if (m_input.empty())
        return;
    if (!m_reader) {
        const auto &limits = m_handler.limits();
        m_reader.emplace(limits.maxHeadBytes, limits.maxBodyBytes);
        m_arrivedAt = m_context.clock.now();
        callAfter(m_timer, weak_from_this(), limits.headTimeout, &CallerSession::handleTimeout);
    }
    std::string_view input = m_input;
    const auto progress = m_reader->feed(input);
    m_input.erase(0, m_input.size() - input.size());
    const bool isWithinBudget = m_buffered.resize(m_reader->bufferedBytes() + m_input.size());
    if (progress == ReadProgress::Complete) {
        serve();
    } else if (progress != ReadProgress::NeedMore) {
        refuse(m_reader->refusalReason());
    } else if (!isWithinBudget) {
        refuse(RefusalReason::ConnectionLimit);
    } else if (m_reader->takeContinueExpectation()) {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::system::error_code ec;
        m_socket.write_some(boost::asio::buffer(interim), ec);
    } else if (!m_reader->hasStarted()) {
        m_reader.reset();
    }
}

void CallerSession::serve()
{
    m_state = State::Serving;
    m_timer.cancel();
    auto request = m_reader->takeRequest();
    m_reader.reset();
    request.arrivedAt = m_arrivedAt;
    m_shouldCloseAfterResponse = !request.keepsConnection;
    m_isHeadRequest = request.method == "HEAD";
    auto pending = m_handler.handle(std::move(request),
                                    [weak = weak_from_this()](CallerReply reply) {
                                        if (const auto self = weak.lock())
                                            self->reply(std::move(reply));
                                    });
    if (m_state == State::Serving)
        m_pending = std::move(pending);
}

void CallerSession::refuse(RefusalReason reason)
{
    m_reader.reset();
    m_handler.recordInvalidRequest(reason);
    m_shouldCloseAfterResponse = true;
    m_state = State::Serving;
    reply({Refusal{reason}, {}});
}

void CallerSession::reply(CallerReply reply)
{
    if (m_state != State::Serving)
        return;
    m_pending.reset();
    m_shouldCloseAfterResponse = m_shouldCloseAfterResponse || m_handler.isStopping();
    write(encodeOutcome(reply.outcome,
                        {{}, m_isHeadRequest, !m_shouldCloseAfterResponse, reply.fields}));
}

void CallerSession::write(std::string bytes)
{
    m_state = State::Writing;
    m_output = std::move(bytes);
    callAfter(m_timer, weak_from_this(), callerAckTimeout, &CallerSession::handleTimeout);
    boost::asio::async_write(
            m_socket, boost::asio::buffer(m_output),
            [self = shared_from_this()](const auto &ec, std::size_t) { self->handleWritten(ec); });
}

void CallerSession::handleWritten(const boost::system::error_code &ec)
{
    if (m_state != State::Writing)
        return;
    m_output = {};
    m_buffered.release();
    if (ec) {
        close();
        return;
    }
    if (m_shouldCloseAfterResponse) {
        linger();
        return;
    }
    m_state = State::Reading;
    callAfter(m_timer, weak_from_this(), m_handler.limits().idleTimeout,
              &CallerSession::handleTimeout);
    processInput();
    if (std::exchange(m_isReadPaused, false) && m_state != State::Closed)
        waitForInput();
}

void CallerSession::linger()
{
    m_state = State::Lingering;
    m_input.clear();
    boost::system::error_code ec;
    // Closing a socket with unread input makes the kernel send a reset, which can destroy the last
    // response on its way to the caller.
    m_socket.shutdown(TcpSocket::shutdown_send, ec);
    callAfter(m_timer, weak_from_this(), lingerTime, &CallerSession::handleTimeout);
    if (std::exchange(m_isReadPaused, false))
        waitForInput();
}

void CallerSession::handleTimeout()
{
    if (m_state == State::Reading && m_reader)
        refuse(RefusalReason::RequestTimeout);
    else if (m_state == State::Reading)
        closeIfIdle();
    else if (m_state != State::Serving)
        close();
}

void CallerSession::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    boost::system::error_code ec;
    m_timer.cancel();
    m_socket.close(ec);
    if (const auto pending = std::exchange(m_pending, nullptr))
        pending->cancel();
    m_registry.sessionEnded(shared_from_this());
}

} // namespace Sapphireladder
