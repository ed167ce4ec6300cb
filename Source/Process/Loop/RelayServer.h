#pragma once

#include "Process/Loop/ConnectionListener.h"
#include "Process/Loop/RelayCodec.h"

#include <functional>
#include <list>
#include <memory>
#include <unordered_set>

namespace Sapphireladder {

/** How well a VM follows the store. */
enum class RelayState : std::uint8_t {
    /** It may speak for the store. */
    Close,
    /** It has just begun to follow the store. */
    Starting,
    /** It does not reach the store. */
    Lost,
};

/** What the relay server tells of. */
class RelaySource
{
public:
    virtual ~RelaySource() = default;
    virtual RelayState relayState() const = 0;
    /** Another VM asks for changes: the VM follows the store as long as it is asked. */
    virtual void asked() = 0;
};

/** Tells other VMs of changes. Answers are held back until there is a change, for a while. */
class RelayServer final
    : public RequestHandler
    , public SessionRegistry
{
public:
    /** The references outlive the server. */
    RelayServer(LoopContext &context, const RowMirror &mirror, RelaySource &source);
    ~RelayServer() override;

    Result<> listen(const Endpoint &endpoint) { return m_listener.listen(endpoint); }
    /** Answers the requests that wait, since rows changed or the VM lost the store. */
    void answerWaiting();
    void close();

    std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                 ReplyHandler reply) override;
    void recordInvalidRequest(RefusalReason) override {}
    const RequestLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return m_isStopping; }
    void sessionEnded(const std::shared_ptr<CallerSession> &session) override;

private:
    /** A request that waits for a change. */
    class Waiting;

    std::optional<RequestOutcome> outcomeFor(const RelayQuery &query, bool isDue) const;

    LoopContext &m_context;
    const RowMirror &m_mirror;
    RelaySource &m_source;
    RequestLimits m_limits;
    bool m_isStopping = false;
    std::list<std::weak_ptr<Waiting>> m_waiting;
    std::unordered_set<std::shared_ptr<CallerSession>> m_sessions;
    ConnectionListener m_listener;
};

} // namespace Sapphireladder
