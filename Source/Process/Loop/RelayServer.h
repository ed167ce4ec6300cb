#pragma once

#include "Process/Loop/ConnectionListener.h"
#include "Process/Loop/RelayCodec.h"

#include <functional>
#include <list>
#include <memory>
#include <unordered_set>

namespace Sapphireladder {

/** Tells other VMs of changes. Answers are held back until there is a change, for a while. */
class RelayServer final
    : public RequestHandler
    , public SessionRegistry
{
public:
    /** Tells whether this VM follows the store closely enough to speak for it. */
    using FreshCheck = std::function<bool()>;

    /** The references outlive the server. */
    RelayServer(LoopContext &context, const RowMirror &mirror, FreshCheck isFresh);
    ~RelayServer() override;

    Result<> listen(const Endpoint &endpoint) { return m_listener.listen(endpoint); }
    /** Answers the requests that wait, since rows changed or the VM lost the store. */
    void answerWaiting();
    void close();

    std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                 ReplyHandler reply) override;
    void inputRefused(RefusalReason) override {}
    const RequestLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return m_isStopping; }
    void sessionEnded(const std::shared_ptr<CallerSession> &session) override;

private:
    /** A request that waits for a change. */
    class Waiting;

    std::optional<RequestOutcome> outcomeFor(const RelayPositions &positions, bool isDue) const;

    LoopContext &m_context;
    const RowMirror &m_mirror;
    FreshCheck m_isFresh;
    RequestLimits m_limits;
    bool m_isStopping = false;
    std::list<std::weak_ptr<Waiting>> m_waiting;
    std::unordered_set<std::shared_ptr<CallerSession>> m_sessions;
    ConnectionListener m_listener;
};

} // namespace Sapphireladder
