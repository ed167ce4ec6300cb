#pragma once

#include "Connection/Loop/ConnectionLoop.h"
#include "Process/Loop/RelayCodec.h"

#include <memory>
#include <optional>

namespace Sapphireladder {

/** Receives what a relay link learns besides table changes. */
class RelayLinkObserver
{
public:
    virtual ~RelayLinkObserver() = default;
    /**
     * The other VM did not respond or does not follow the store. The link is then stopped already.
     */
    virtual void linkFailed(const FleetMember &member) = 0;
    /**
     * @param list newer fleet list, or null if the known one is up to date
     * @param fleetSize upper estimate of the number of VMs; 0 if unknown
     */
    virtual void fleetReceived(const FleetList *list, unsigned fleetSize) = 0;
    /** @return position of the known fleet list. */
    virtual StorePosition fleetPosition() const = 0;
};

/** Long-polls one other VM for table changes and applies them to the mirror. */
class RelayLink : public std::enable_shared_from_this<RelayLink>
{
public:
    /**
     * The references must outlive the link.
     * @param self the VM that sends the queries
     * @param member the VM that is queried
     */
    RelayLink(LoopContext &context, RowMirror &mirror, VmId self, FleetMember member,
              RelayLinkObserver &observer);
    ~RelayLink();

    void start();
    void stop();
    const FleetMember &member() const { return m_member; }
    /**
     * @return the time until which the responses have all changes that the store confirmed, or
     * nothing before the first response.
     */
    std::optional<TimePoint> completeUntil() const { return m_completeUntil; }
    /** @return whether the other VM accepted the connection and has not responded yet. */
    bool isAwaitingFirstResponse() const
    {
        return m_connection && !m_connection->isConnecting() && !m_completeUntil;
    }

private:
    void sendQuery();
    void handleResponse(const AttemptResult &result);
    void applyChanges(const RelayChanges &changes, const RelayTimes &times);

    LoopContext &m_context;
    RowMirror &m_mirror;
    const VmId m_self;
    const FleetMember m_member;
    RelayLinkObserver &m_observer;
    std::shared_ptr<UpstreamConnection> m_connection;
    TimePoint m_queriedAt{};
    std::optional<TimePoint> m_completeUntil;
    bool m_isStopped = false;
};

} // namespace Sapphireladder
