#pragma once

#include "Connection/Connection.h"
#include "Connection/Http/CountingSocketImpl.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <memory>

namespace Sapphireladder {

/**
 * One connection to a target, which is never reconnected. POCO's HTTPClientSession is not used,
 * since it reconnects on its own and would then send a request a second time.
 */
class UpstreamSession
{
public:
    /**
     * Opens a connection.
     * @param endpoint address of the target
     * @param deadline time by which it must be open
     * @return the session, or ConnectionError::ConnectFailed.
     */
    static Result<std::unique_ptr<UpstreamSession>> create(const Endpoint &endpoint,
                                                           TimePoint deadline);
    ~UpstreamSession();
    UpstreamSession(const UpstreamSession &) = delete;
    UpstreamSession &operator=(const UpstreamSession &) = delete;

    CountingSocketImpl &socketImpl() { return *m_socketImpl; }
    ConnectionHistory &history() { return m_history; }
    const Endpoint &endpoint() const { return m_endpoint; }

    /** @return whether the idle connection is unusable, since input or a close is pending. */
    bool hasUnexpectedInput();

    /** Increments `count`, the number of open connections, until this one is closed. */
    void trackOpenCount(std::shared_ptr<std::atomic<std::size_t>> count);

private:
    UpstreamSession(const Endpoint &endpoint, const Poco::Net::StreamSocket &socket,
                    CountingSocketImpl *socketImpl);

    Endpoint m_endpoint;
    Poco::Net::StreamSocket m_socket;
    CountingSocketImpl *m_socketImpl;
    ConnectionHistory m_history;
    std::shared_ptr<std::atomic<std::size_t>> m_openCount;
};

} // namespace Sapphireladder
