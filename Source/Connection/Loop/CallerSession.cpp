#include "Connection/Loop/ConnectionLoop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>

#include <array>

namespace Sapphireladder {

namespace {

/** Maximum input buffered while a request is served. Reading pauses beyond it. */
constexpr std::size_t maxBufferedInputBytes = 16 * kibibyte;
/** Messages up to this size are served when the budget is exhausted. */
constexpr std::size_t maxUnbudgetedBytes = 4 * kibibyte;
/** Time without input after which a connection is closed behind its last response. */
constexpr Duration lingerTime = std::chrono::seconds(1);
/** Maximum time that input behind the last response is discarded. */
constexpr Duration maxLingerTime = std::chrono::seconds(5);
/** Maximum time of a request body. 64 MiB take it at 220 KiB/s. */
constexpr Duration maxBodyTime = std::chrono::minutes(5);
/** Time without an acknowledgement after which the caller counts as disconnected. */
constexpr Duration callerAckTimeout = std::chrono::seconds(10);

} // namespace

CallerSession::CallerSession(LoopContext &context, TcpSocket socket, RequestHandler &handler,
                             SessionRegistry &registry)
    : m_context(context)
    , m_socket(std::move(socket))
    , m_timer(context.io)
    , m_buffered(context.buffers,
                 [this] {
                     boost::asio::post(m_context.io, [weak = weak_from_this()] {
                         if (const auto self = weak.lock())
                             self->handleEviction();
                     });
                 })
    , m_handler(handler)
    , m_registry(registry)
    , m_activeAt(context.clock.now())
{}

void CallerSession::start()
{
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    setSocketOptions(m_socket, callerAckTimeout);
    if (m_context.maxUnsentBytes > 0)
        limitUnsentBytes(m_socket, m_context.maxUnsentBytes);
    callAfter(m_timer, weak_from_this(), m_handler.limits().idleTimeout,
              &CallerSession::handleTimeout);
    waitForInput();
}

bool CallerSession::isBusy() const
{
    return m_state == State::Serving || m_state == State::Writing
           || (m_state == State::Reading && m_reader);
}

bool CallerSession::isSheddable() const
{
    if (m_state == State::Reading && !m_reader)
        return !hasUnreadInput();
    return m_state != State::Serving && m_state != State::Closed;
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
    const auto available = readAvailable(m_context, m_socket, ec, maxInputBytes());
    if (ec) {
        close();
        return;
    }
    m_activeAt = m_context.clock.now();
    if (m_state == State::Reading)
        processInput(available);
    else if (m_state == State::Lingering)
        discard(available.size());
    else
        receiveAhead(available);
    if (m_state != State::Closed && !m_isReadPaused)
        waitForInput();
}

std::size_t CallerSession::maxInputBytes() const
{
    if (m_state == State::Lingering || (m_reader && m_reader->hasHead()))
        return std::string::npos;
    return maxBufferedInputBytes - std::min(m_input.size(), maxBufferedInputBytes);
}

void CallerSession::resumeReading()
{
    const bool isAhead = m_state == State::Serving || m_state == State::Writing;
    if (m_state == State::Closed || (isAhead && m_input.size() >= maxBufferedInputBytes))
        return;
    if (std::exchange(m_isReadPaused, false))
        waitForInput();
}

void CallerSession::receiveAhead(std::string_view input)
{
    m_input += input;
    const auto size = m_input.size();
    const bool isWithinBudget = m_state != State::Serving
                                || m_buffered.resize(m_requestBytes + size, m_activeAt);
    m_isReadPaused = size >= maxBufferedInputBytes || !isWithinBudget;
}

void CallerSession::discard(std::size_t bytes)
{
    m_discardedBytes += bytes;
    if (m_discardedBytes > m_handler.limits().maxBodyBytes)
        close();
    else
        callAfter(m_timer, weak_from_this(), std::min(lingerTime, m_lingerEnd - m_activeAt),
                  &CallerSession::handleTimeout);
}

void CallerSession::startReading()
{
    const auto &limits = m_handler.limits();
    m_reader.emplace(limits.maxHeadBytes, limits.maxBodyBytes);
    m_rate.reset();
    m_arrivedAt = m_context.clock.now();
    callAfter(m_timer, weak_from_this(), limits.headTimeout, &CallerSession::handleTimeout);
}

void CallerSession::processInput(std::string_view input)
{
    if (input.empty())
        return;
    if (!m_reader)
        startReading();
    if (m_rate)
        m_rate->transferred(input.size());
    const auto progress = m_reader->feed(input);
    // Swapped, since an assignment would keep the memory.
    std::string(input).swap(m_input);
    const bool isWithinBudget = m_buffered.resize(m_reader->bufferedBytes() + m_input.size(),
                                                  m_context.clock.now());
    handleProgress(progress, isWithinBudget);
}

void CallerSession::handleProgress(ReadProgress progress, bool isWithinBudget)
{
    if (progress == ReadProgress::Complete) {
        if (isWithinBudget || m_reader->bufferedBytes() <= maxUnbudgetedBytes)
            serve(RequestPart::Whole);
        else
            refuse(RefusalReason::MemoryLimit);
    } else if (progress != ReadProgress::NeedMore) {
        refuse(m_reader->refusalReason());
    } else if (!isWithinBudget) {
        refuse(RefusalReason::MemoryLimit);
    } else if (m_reader->hasHead() && !m_rate) {
        awaitBody();
    } else if (!m_reader->hasStarted()) {
        m_reader.reset();
    }
}

void CallerSession::awaitBody()
{
    if (m_handler.refusesHead(m_reader->head())) {
        serve(RequestPart::Head);
        return;
    }
    const auto now = m_context.clock.now();
    m_rate.emplace(now);
    callAfter(m_timer, weak_from_this(), m_rate->timeUntilCheck(now),
              &CallerSession::handleTimeout);
    if (m_reader->takeContinueExpectation()) {
        static constexpr std::string_view interim = "HTTP/1.1 100 Continue\r\n\r\n";
        boost::system::error_code ec;
        m_socket.write_some(boost::asio::buffer(interim), ec);
    }
}

void CallerSession::serve(RequestPart part)
{
    m_state = State::Serving;
    m_timer.cancel();
    m_requestBytes = m_reader->bufferedBytes();
    auto request = m_reader->takeRequest();
    m_reader.reset();
    m_buffered.release();
    m_buffered.setEvictable(false);
    m_buffered.resize(m_requestBytes + m_input.size(), m_context.clock.now());
    request.arrivedAt = m_arrivedAt;
    // The rest of a body must not be read as a request.
    m_shouldCloseAfterResponse = !request.keepsConnection || part == RequestPart::Head;
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
    write(encodeOutcomeParts(std::move(reply.outcome),
                             {{}, m_isHeadRequest, !m_shouldCloseAfterResponse, reply.fields}));
}

void CallerSession::write(EncodedOutcome message)
{
    m_state = State::Writing;
    m_output = std::move(message);
    m_sentBytes = 0;
    m_buffered.release();
    const auto now = m_context.clock.now();
    m_rate.emplace(now);
    callAfter(m_timer, weak_from_this(), m_rate->timeUntilCheck(now),
              &CallerSession::handleTimeout);
    writeSome();
}

void CallerSession::writeSome()
{
    const auto size = m_output.head.size() + m_output.body.size();
    boost::system::error_code ec;
    std::size_t written = 0;
    while (m_sentBytes < size && !ec) {
        const auto headBytes = std::min(m_sentBytes, m_output.head.size());
        const std::array<boost::asio::const_buffer, 2> rest{
                boost::asio::buffer(m_output.head) + headBytes,
                boost::asio::buffer(m_output.body) + (m_sentBytes - headBytes)};
        const auto n = m_socket.write_some(rest, ec);
        m_sentBytes += n;
        written += n;
    }
    if (ec && ec != boost::asio::error::would_block) {
        close();
        return;
    }
    m_rate->transferred(written);
    if (m_sentBytes == size) {
        // Posted, since the next request may be answered at once, and so on.
        boost::asio::post(m_context.io, [self = shared_from_this()] { self->handleWritten(); });
        return;
    }
    if (written > 0 || m_sentBytes == 0) {
        m_activeAt = m_context.clock.now();
        const auto unsent = size - m_sentBytes;
        if (!m_buffered.resize(unsent + m_input.size(), m_activeAt)
            && unsent > maxUnbudgetedBytes) {
            close();
            return;
        }
    }
    m_socket.async_wait(TcpSocket::wait_write, [self = shared_from_this()](const auto &error) {
        if (self->m_state == State::Writing && !error)
            self->writeSome();
    });
}

void CallerSession::handleWritten()
{
    if (m_state != State::Writing)
        return;
    releaseOutput();
    m_rate.reset();
    m_buffered.release();
    if (m_shouldCloseAfterResponse) {
        linger();
        return;
    }
    m_state = State::Reading;
    callAfter(m_timer, weak_from_this(), m_handler.limits().idleTimeout,
              &CallerSession::handleTimeout);
    std::string input;
    input.swap(m_input);
    processInput(input);
    resumeReading();
}

void CallerSession::releaseOutput()
{
    // Moved away, since an assignment would keep the memory.
    static_cast<void>(std::exchange(m_output, {}));
}

void CallerSession::linger()
{
    m_state = State::Lingering;
    std::string().swap(m_input);
    m_lingerEnd = m_context.clock.now() + maxLingerTime;
    boost::system::error_code ec;
    // Closing a socket with unread input makes the kernel send a reset, which can destroy the last
    // response on its way to the caller.
    m_socket.shutdown(TcpSocket::shutdown_send, ec);
    callAfter(m_timer, weak_from_this(), lingerTime, &CallerSession::handleTimeout);
    resumeReading();
}

void CallerSession::handleTimeout()
{
    const auto now = m_context.clock.now();
    const bool isTransfer = m_rate && (m_state == State::Reading || m_state == State::Writing);
    const bool isLate = m_state == State::Reading && now - m_arrivedAt >= maxBodyTime;
    if (isTransfer && !isLate && !m_rate->isTooSlow(now))
        callAfter(m_timer, weak_from_this(), m_rate->timeUntilCheck(now),
                  &CallerSession::handleTimeout);
    else if (m_state == State::Reading && m_reader)
        refuse(RefusalReason::RequestTimeout);
    else if (m_state == State::Reading)
        closeIfIdle();
    else if (m_state != State::Serving)
        close();
}

void CallerSession::handleEviction()
{
    if (m_state == State::Reading && m_reader)
        refuse(RefusalReason::MemoryLimit);
    else if (m_state == State::Writing)
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
    m_reader.reset();
    releaseOutput();
    std::string().swap(m_input);
    m_buffered.release();
    if (const auto pending = std::exchange(m_pending, nullptr))
        pending->cancel();
    m_registry.sessionEnded(shared_from_this());
}

} // namespace Sapphireladder
