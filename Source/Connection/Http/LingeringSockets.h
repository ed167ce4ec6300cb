#pragma once

#include "Core/Core.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>

#include <map>
#include <mutex>

namespace Sapphireladder {

/**
 * Caller connections in a lingering close after their last response. Closing a socket with unread
 * input makes the kernel send a reset, which can destroy the response on its way. So the sending
 * direction is shut down first, and input is discarded until the caller closes too. Safe for use by
 * several threads.
 */
class LingeringSockets
{
public:
    /** @param pollSet polls the sockets; must outlive the object */
    explicit LingeringSockets(Poco::Net::PollSet &pollSet)
        : m_pollSet(pollSet)
    {}

    /** Shuts down the sending direction and takes over the socket. */
    void add(const Poco::Net::StreamSocket &socket);

    /** Discards the input of a readable socket. @return false if the socket is not in this set. */
    bool discardInput(const Poco::Net::Socket &socket);

    /** Closes the sockets whose callers did not close in time. */
    void closeExpired();

    bool isEmpty() const;

private:
    Poco::Net::PollSet &m_pollSet;
    mutable std::mutex m_mutex;
    std::map<Poco::Net::Socket, TimePoint> m_deadlines;
};

} // namespace Sapphireladder
