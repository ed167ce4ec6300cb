#include "Connection/Loop/ConnectionLoop.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

#include <sys/socket.h>

namespace Sapphireladder {

namespace {

/** Responses to earlier requests that are discarded before the connection is given up. */
constexpr unsigned maxMismatchedResponses = 4;

/** @param progress how far a response was read that will not be complete */
UnknownReason failureReasonOf(ReadProgress progress)
{
    switch (progress) {
    case ReadProgress::NeedMore:
        return UnknownReason::MemoryLimit;
    case ReadProgress::TooLarge:
        return UnknownReason::ResponseTooLarge;
    default:
        return UnknownReason::InvalidResponseFraming;
    }
}

} // namespace

UpstreamConnection::UpstreamConnection(LoopContext &context)
    : m_context(context)
    , m_socket(context.io)
    , m_timer(context.io)
    , m_buffered(context.buffers, [this] {
        boost::asio::post(m_context.io, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->handleEviction();
        });
    })
{}

void UpstreamConnection::open(const TcpEndpoint &endpoint, Duration connectTimeout,
                              Duration ackTimeout)
{
    boost::system::error_code ec;
    m_socket.open(endpoint.protocol(), ec);
    if (!ec) {
        m_socket.non_blocking(true, ec);
        setSocketOptions(m_socket, ackTimeout);
    }
    callAfter(m_timer, weak_from_this(), connectTimeout, &UpstreamConnection::handleTimeout);
    m_socket.async_connect(endpoint, [self = shared_from_this()](const auto &error) {
        self->handleConnected(error);
    });
}

void UpstreamConnection::handleConnected(const boost::system::error_code &ec)
{
    if (m_state == State::Closed)
        return;
    m_timer.cancel();
    if (ec) {
        fail({NotRun{RetryReason::ConnectFailed}, {}, false, {}});
        return;
    }
    m_state = State::Idle;
    waitForInput();
    if (m_request)
        sendRequest();
}

void UpstreamConnection::exchange(UpstreamRequest request, Duration timeout,
                                  CompletionHandler handler)
{
    m_request = std::move(request);
    m_handler = std::move(handler);
    m_deadline = m_context.clock.now() + timeout;
    if (m_state == State::Idle)
        sendRequest();
}

void UpstreamConnection::sendRequest()
{
    m_state = State::Busy;
    m_isRequestSent = false;
    ++m_requestCount;
    m_mismatchedCount = 0;
    m_reader.emplace(m_request->isBodyless, m_request->maxResponseBodyBytes);
    callAfter(m_timer, weak_from_this(),
              std::max(Duration::zero(), *m_deadline - m_context.clock.now()),
              &UpstreamConnection::handleTimeout);
    const auto body = m_request->body;
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(m_request->bytes),
                                                           body ? boost::asio::buffer(*body)
                                                                : boost::asio::const_buffer()};
    boost::asio::async_write(m_socket, buffers,
                             [self = shared_from_this(), body](const auto &ec, std::size_t size) {
                                 self->handleSent(ec, size);
                             });
}

void UpstreamConnection::handleSent(const boost::system::error_code &ec, std::size_t size)
{
    if (m_state != State::Busy)
        return;
    m_isRequestSent = !ec;
    // Once the kernel has taken a part of the request, the reading side determines the result. As
    // the request is not sent, only a response that tells its own end can be whole by then.
    if (ec && size == 0)
        fail({NotRun{RetryReason::StaleConnection}, {}, false, {}});
}

void UpstreamConnection::waitForInput()
{
    m_socket.async_wait(TcpSocket::wait_read, [self = shared_from_this()](const auto &ec) {
        if (self->m_state != State::Closed && !ec)
            self->handleReadable();
    });
}

void UpstreamConnection::handleReadable()
{
    boost::system::error_code ec;
    const auto available = readAvailable(m_context, m_socket, ec);
    if (ec) {
        handleDisconnect(ec);
        return;
    }
    if (!available.empty())
        handleInput(available);
    if (m_state != State::Closed)
        waitForInput();
}

void UpstreamConnection::handleInput(std::string_view input)
{
    // Input outside of an exchange belongs to no request, so the connection is not safe to reuse.
    if (m_state != State::Busy) {
        close();
        return;
    }
    while (true) {
        const auto progress = m_reader->feed(input);
        const bool isWithinBudget = m_buffered.resize(m_reader->bufferedBytes(),
                                                      m_context.clock.now());
        if (progress == ReadProgress::NeedMore && isWithinBudget)
            return;
        if (progress != ReadProgress::Complete) {
            fail({Unknown{failureReasonOf(progress)}, {}, false, {}});
            return;
        }
        handleResponse(input);
        if (m_mismatchedCount == 0 || m_state != State::Busy || input.empty())
            return;
    }
}

void UpstreamConnection::handleResponse(std::string_view rest)
{
    const bool keeps = m_reader->keepsConnection();
    m_idleTimeout = m_reader->idleTimeout();
    auto response = m_reader->takeResponse();
    if (!isOwnResponse(response)) {
        // A late response to an earlier request; the matching one may still follow.
        ++m_mismatchedCount;
        m_reader.emplace(m_request->isBodyless, m_request->maxResponseBodyBytes);
        if (!keeps || m_mismatchedCount > maxMismatchedResponses)
            fail({Unknown{UnknownReason::ResponseMismatch}, {}, false, {}});
        return;
    }
    m_lastResponseAt = m_context.clock.now();
    const bool canReuse = keeps && m_isRequestSent && m_mismatchedCount == 0 && rest.empty();
    m_mismatchedCount = 0;
    if (canReuse) {
        m_state = State::Idle;
        m_timer.cancel();
    } else {
        closeSocket();
    }
    complete({Answered{std::move(response)}, {}, false, {}});
}

bool UpstreamConnection::isOwnResponse(const Response &response) const
{
    if (!m_request->originOf)
        return true;
    const auto origin = m_request->originOf(response);
    return origin == ResponseOrigin::Own
           || (origin == ResponseOrigin::Unidentified && m_requestCount == 1);
}

bool UpstreamConnection::isWholeByClose(const boost::system::error_code &ec)
{
    // A target that closes before it has read the request may have broken off its response. The
    // kernel reports a reset once: after a failed write the reading side sees an orderly close.
    if (ec != boost::asio::error::eof || !m_isRequestSent || !m_reader->isCompletedByClose())
        return false;
    // A reset behind the close: the peer discarded a part of the request.
    int pendingError = 0;
    socklen_t size = sizeof pendingError;
    return ::getsockopt(m_socket.native_handle(), SOL_SOCKET, SO_ERROR, &pendingError, &size) == 0
           && pendingError == 0;
}

void UpstreamConnection::handleDisconnect(const boost::system::error_code &ec)
{
    if (m_state != State::Busy) {
        close();
        return;
    }
    if (isWholeByClose(ec)) {
        handleResponse({});
        if (m_state == State::Closed)
            return;
    }
    const bool hasStarted = m_reader->hasStarted();
    fail({Unknown{hasStarted ? UnknownReason::ResponseTruncated : UnknownReason::ConnectionReset},
          {},
          false,
          {}});
}

void UpstreamConnection::handleTimeout()
{
    if (m_state == State::Connecting)
        fail({NotRun{RetryReason::ConnectFailed}, {}, false, {}});
    else if (m_state == State::Busy)
        fail({Unknown{UnknownReason::ResponseTimeout}, {}, false, {}});
}

void UpstreamConnection::handleEviction()
{
    if (m_state == State::Busy)
        fail({Unknown{UnknownReason::MemoryLimit}, {}, false, {}});
}

void UpstreamConnection::fail(AttemptResult result)
{
    closeSocket();
    complete(std::move(result));
}

void UpstreamConnection::complete(AttemptResult result)
{
    m_request.reset();
    m_reader.reset();
    m_buffered.release();
    const auto handler = std::exchange(m_handler, nullptr);
    if (handler)
        handler(std::move(result));
}

void UpstreamConnection::close()
{
    closeSocket();
    m_handler = nullptr;
}

void UpstreamConnection::closeSocket()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    boost::system::error_code ec;
    m_timer.cancel();
    m_socket.close(ec);
    m_buffered.release();
}

} // namespace Sapphireladder
