#pragma once

#include "Connection/Connection.h"
#include "Connection/Http/CountingSocketImpl.h"
#include "Request/Request.h"

#include <Poco/Net/HTTPClientSession.h>

#include <memory>

namespace Sapphireladder {

/** One connection to a target. It connects once and never again by itself. */
class UpstreamSession final : public Poco::Net::HTTPClientSession
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

    CountingSocketImpl &counter() { return *m_counter; }
    const CountingSocketImpl &counter() const { return *m_counter; }
    ConnectionRecord &record() { return m_record; }

    /** @return whether bytes or a close wait on the idle connection, which must then not be used.
     */
    bool hasUnexpectedInput();

protected:
    /** POCO would connect again in silence, which is a second attempt that nobody counts. */
    void connect(const Poco::Net::SocketAddress &address) override;
    bool mustReconnect() const override;

private:
    UpstreamSession(const Poco::Net::StreamSocket &socket, CountingSocketImpl *counter);

    CountingSocketImpl *m_counter;
    ConnectionRecord m_record;
};

} // namespace Sapphireladder
