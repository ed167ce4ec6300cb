#pragma once

#include "Core/Core.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>

#include <map>
#include <mutex>

namespace Sapphireladder {

/**
 * Connections of callers whose last answer was sent. The kernel resets a connection that is closed
 * with input unread, and the reset can destroy the answer on its way. So the sending direction is
 * closed first, and input is thrown away until the caller closes too. Safe for several threads.
 */
class LingeringSockets
{
public:
    /** @param pollSet reports the sockets as readable and outlives the object */
    explicit LingeringSockets(Poco::Net::PollSet &pollSet)
        : m_pollSet(pollSet)
    {}

    /** Closes the sending direction and takes the socket over. */
    void add(const Poco::Net::StreamSocket &socket);

    /** Throws away input of a readable socket. @return false if the socket is not one of these. */
    bool discardInput(const Poco::Net::Socket &socket);

    /** Closes the sockets whose callers have not closed in time. */
    void closeExpired();

    bool isEmpty() const;

private:
    Poco::Net::PollSet &m_pollSet;
    mutable std::mutex m_mutex;
    std::map<Poco::Net::Socket, TimePoint> m_deadlines;
};

} // namespace Sapphireladder
