#pragma once

#include "Process/Loop/ConnectionListener.h"
#include "Process/Loop/RelayCodec.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_set>

namespace Sapphireladder {

/** Whether a VM can relay table changes to others. */
enum class RelayState : std::uint8_t {
    /** The VM's tables are up to date and may be relayed. */
    UpToDate,
    /** The VM has just begun to follow the store and awaits the first responses. */
    Starting,
    /** The VM does not follow the store or cannot reach it. */
    Unavailable,
};

/** The owner of a relay server, which knows whether this VM's tables are up to date. */
class RelayHost
{
public:
    virtual ~RelayHost() = default;
    virtual RelayState relayState() const = 0;
    /** @return the time until which the table has all changes that the store confirmed. */
    virtual TimePoint completeUntil(RowTable table) const = 0;
    /** Called when another VM queries for changes. This VM follows the store while queries arrive.
     */
    virtual void queryReceived(const VmId &vm) = 0;
    /** @return the fleet list as last read. */
    virtual const FleetList &fleet() const = 0;
    /** @return upper estimate of the number of VMs; 0 if unknown. */
    virtual unsigned fleetSize() const = 0;
};

/** Serves table changes to other VMs by long polling: responses wait for a change up to a limit. */
class RelayServer final
    : public RequestHandler
    , public SessionRegistry
{
public:
    /**
     * The references must outlive the server.
     * @param minRecencyGain how much more recent this VM's tables must be than those of another VM
     * for a response without changes
     */
    RelayServer(LoopContext &context, const RowMirror &mirror, RelayHost &host,
                Duration minRecencyGain);
    ~RelayServer() override;

    Result<> listen(const Endpoint &endpoint) { return m_listener.listen(endpoint); }
    /**
     * Responds to the pending queries that can be answered; called on changes of rows and state,
     * and when the store has confirmed that there are none.
     */
    void respondToPending();
    void close();

    std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                 ReplyHandler reply) override;
    void recordInvalidRequest(RefusalReason) override {}
    const RequestLimits &limits() const override { return m_limits; }
    bool isStopping() const override { return m_isStopping; }
    void sessionEnded(const std::shared_ptr<CallerSession> &session) override;

private:
    /** A long-poll query that has no response yet. */
    class PendingQuery;

    std::optional<RequestOutcome> outcomeFor(const RelayQuery &query, TimePoint receivedAt,
                                             bool isTimedOut);
    /** @return whether this VM's tables are more recent than those of the VM with the query. */
    bool isMoreRecent(const RelayQuery &query, TimePoint receivedAt) const;
    /** @return whether the VM with the query knows a later return of the store than this VM. */
    bool isBehind(const RelayQuery &query) const;
    /** @return a response that states how recent it is. */
    RequestOutcome makeResponse(std::string body, TimePoint receivedAt) const;
    /** @return the encoded changes since the query's positions; nothing if there are none. */
    std::shared_ptr<const std::string> changesFor(const RelayQuery &query);
    std::string encodeChanges(const RelayQuery &query, bool &hasNews) const;

    LoopContext &m_context;
    const RowMirror &m_mirror;
    RelayHost &m_host;
    const Duration m_minRecencyGain;
    RequestLimits m_limits;
    bool m_isStopping = false;
    /** What a response depends on: positions of the query, and those of this VM. */
    using CacheKey = std::vector<std::uint64_t>;
    /** Encoded changes; null if there are none. Many VMs send the same query. */
    std::map<CacheKey, std::shared_ptr<const std::string>> m_cache;
    std::list<std::weak_ptr<PendingQuery>> m_pendingQueries;
    std::unordered_set<std::shared_ptr<CallerSession>> m_sessions;
    ConnectionListener m_listener;
};

} // namespace Sapphireladder
