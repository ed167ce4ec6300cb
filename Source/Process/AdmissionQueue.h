#pragma once

#include "Process/PendingRequest.h"
#include "Version/Version.h"

#include <array>
#include <deque>

namespace Sapphireladder {

/**
 * The requests of one service that wait for a slot: one line for each class, first in, first out.
 * Urgent requests go first, but for a reserved share of the grants that goes to deferrable ones, so
 * that these finish even under a constant load of urgent requests. Does no locking.
 */
class AdmissionQueue
{
public:
    /** Takes over a new version's bounds. Requests that wait beyond them stay. */
    void setPolicy(const QueuePolicy &policy) { m_policy = policy; }

    /**
     * Appends a request to its class. An urgent one may displace the newest deferrable one that
     * holds a place outside the deferrable share of the places; it is decided as QueueFull.
     * @return false if there is no place for it.
     */
    bool push(PendingRequest &request);

    /** @return the request that gets the next free slot, or null. */
    PendingRequest *front();
    /** Takes out the request that front() gives and counts the grant. */
    void grantFront();
    /** Takes out a request that gives up, if it still waits. */
    void remove(const PendingRequest &request);
    /** Decides every waiting request as refused. */
    void refuseAll(RefusalReason reason);

    bool isEmpty() const { return size() == 0; }
    std::size_t size() const;
    /** @return how many requests a new one of the class has to wait for. */
    std::size_t aheadOf(RequestClass requestClass) const;

private:
    using Line = std::deque<PendingRequest *>;

    Line &line(RequestClass requestClass)
    {
        return m_lines[static_cast<std::size_t>(requestClass)];
    }
    const Line &line(RequestClass requestClass) const
    {
        return m_lines[static_cast<std::size_t>(requestClass)];
    }
    /** @return places that urgent requests cannot take from deferrable ones. */
    std::size_t reservedPlaces() const;
    RequestClass nextClass() const;

    QueuePolicy m_policy;
    std::array<Line, 2> m_lines;
    /** Grants owed to deferrable requests that wait. At 1 the next grant is theirs. */
    double m_deferrableCredit = 0;
};

} // namespace Sapphireladder
