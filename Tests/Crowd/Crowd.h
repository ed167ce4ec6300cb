#pragma once

#include "Core/Core.h"

#include <Poco/Net/StreamSocket.h>

#include <list>
#include <string>
#include <string_view>

namespace Sapphireladder::CrowdTests {

/** Maximum time of one ordinary request. */
constexpr long callTimeoutSeconds = 5;

/** Connections of callers that send what they are told and read nothing unless asked to. */
class Crowd
{
public:
    explicit Crowd(Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {}

    /** Opens connections on each of which the text is to be sent. Those refused are left out. */
    void join(std::size_t count, std::string text);
    /**
     * Sends the texts as far as the gateway takes them: until all are sent, or nothing was sent
     * for a while.
     * @param pieceBytes maximum size of one write
     */
    void send(std::size_t pieceBytes = 64 * kibibyte);
    /** Reads some bytes, if any arrived, on each connection. */
    void readSome(std::size_t bytes);
    /** Closes the sending direction of all connections. */
    void closeSending();
    /** Closes all connections. */
    void leave() { m_members.clear(); }
    std::size_t size() const { return m_members.size(); }

private:
    struct Member
    {
        Poco::Net::StreamSocket socket;
        std::shared_ptr<const std::string> text;
        std::size_t sentBytes = 0;
        bool isBroken = false;
    };

    /** @return number of bytes sent; 0 if the kernel takes none at the moment. */
    static std::size_t sendPiece(Member &member, std::size_t pieceBytes);

    const Endpoint m_endpoint;
    std::list<Member> m_members;
};

/** @return the status of the response to a request on a new connection, or 0 if there is none. */
unsigned call(const Endpoint &endpoint, std::string_view request,
              long timeoutSeconds = callTimeoutSeconds);

/** Repeats a request on new connections, a few times at most. @return whether it got a 200. */
bool isServed(const Endpoint &endpoint, std::string_view request,
              long timeoutSeconds = callTimeoutSeconds);

} // namespace Sapphireladder::CrowdTests
