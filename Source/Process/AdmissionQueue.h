#pragma once

#include "Process/PendingRequest.h"
#include "Version/Version.h"

#include <array>
#include <deque>

namespace Sapphireladder {

/**
 * Requests of one service that wait for a slot, in one FIFO queue per class. Urgent requests have
 * priority, except that a configured share of the slots goes to deferrable requests so that they
 * are not starved by a constant urgent load. Not synchronized.
 */
class AdmissionQueue
{
public:
    /** Applies a new version's limits. Requests already queued beyond them stay. */
    void setPolicy(const QueuePolicy &policy) { m_policy = policy; }

    /**
     * Appends a request to the queue of its class. In a full queue an urgent request evicts the
     * newest deferrable one, which is refused as QueueFull, unless that would cut into the
     * capacity reserved for deferrable requests.
     * @return false if there is no room for the request.
     */
    bool push(PendingRequest &request);

    /** @return the request that is due the next free slot, or null. */
    PendingRequest *front();
    /** Removes the request that front() returns, and accounts for its slot. */
    void popFront();
    /** Removes a request that no longer waits, if it is still queued. */
    void remove(const PendingRequest &request);
    /** Refuses every queued request. */
    void refuseAll(RefusalReason reason);

    bool isEmpty() const { return size() == 0; }
    std::size_t size() const;
    /** @return how many queued requests would be served before a new one of the class. */
    std::size_t queuedAhead(RequestClass requestClass) const;

private:
    using ClassQueue = std::deque<PendingRequest *>;

    ClassQueue &queueOf(RequestClass requestClass)
    {
        return m_queues[static_cast<std::size_t>(requestClass)];
    }
    const ClassQueue &queueOf(RequestClass requestClass) const
    {
        return m_queues[static_cast<std::size_t>(requestClass)];
    }
    /** @return capacity that urgent requests cannot take from deferrable ones. */
    std::size_t reservedCapacity() const;
    RequestClass nextClass() const;

    QueuePolicy m_policy;
    std::array<ClassQueue, 2> m_queues;
    /** Slots owed to deferrable requests. Once it reaches 1, the next slot goes to one of them. */
    double m_deferrableCredit = 0;
};

} // namespace Sapphireladder
