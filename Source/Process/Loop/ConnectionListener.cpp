#include "Process/Loop/ProcessLoop.h"

namespace Sapphireladder {

namespace {

/**
 * Length of the kernel's accept queue. When it is full, SYNs are dropped and callers lose seconds
 * until TCP retransmits them.
 */
constexpr int acceptBacklog = 1024;
/** Delay after a failed accept. Without it, running out of file descriptors causes a busy loop. */
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

ConnectionListener::ConnectionListener(LoopContext &context, AcceptHandler handler,
                                       ExhaustionHandler exhaustionHandler)
    : m_context(context)
    , m_handler(std::move(handler))
    , m_exhaustionHandler(std::move(exhaustionHandler))
    , m_acceptor(context.io)
    , m_retryTimer(context.io)
{}

Result<> ConnectionListener::listen(const Endpoint &endpoint)
{
    const auto address = toTcpEndpoint(endpoint);
    if (!address)
        return makeError(ConnectionError::ListenFailed, endpoint.toString());
    boost::system::error_code ec;
    m_acceptor.open(address->protocol(), ec);
    if (!ec)
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(*address, ec);
    if (!ec)
        m_acceptor.listen(acceptBacklog, ec);
    if (ec)
        return makeError(ConnectionError::ListenFailed, endpoint.toString() + ": " + ec.message());
    acceptNext();
    return success();
}

void ConnectionListener::acceptNext()
{
    m_acceptor.async_accept(m_context.io, [this](const auto &ec, TcpSocket socket) {
        if (ec == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (ec) {
            if (m_exhaustionHandler)
                m_exhaustionHandler();
            retryAcceptLater();
            return;
        }
        m_handler(std::move(socket));
        acceptNext();
    });
}

void ConnectionListener::retryAcceptLater()
{
    m_retryTimer.expires_after(acceptRetryDelay);
    m_retryTimer.async_wait([this](const auto &ec) {
        if (!ec && m_acceptor.is_open())
            acceptNext();
    });
}

void ConnectionListener::acceptPending()
{
    boost::system::error_code ec;
    if (!m_acceptor.is_open())
        return;
    m_acceptor.non_blocking(true, ec);
    for (int i = 0; i < acceptBacklog && !ec; ++i) {
        TcpSocket socket(m_context.io);
        m_acceptor.accept(socket, ec);
        if (!ec)
            m_handler(std::move(socket));
    }
}

void ConnectionListener::close()
{
    boost::system::error_code ec;
    m_retryTimer.cancel();
    acceptPending();
    m_acceptor.close(ec);
}

} // namespace Sapphireladder
