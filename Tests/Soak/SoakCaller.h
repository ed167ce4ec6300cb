#pragma once

#include "Core/Core.h"

#include <Poco/Net/StreamSocket.h>

#include <optional>
#include <string>

namespace Sapphireladder::Soak {

/** Outcome of one request as the caller saw it. */
struct CallRecord
{
    std::string id;
    bool isIdempotent = false;
    /** HTTP status, or 0 if the connection ended without a complete response. */
    unsigned status = 0;
    /** Whether the complete request was sent before the connection ended. */
    bool isSent = false;
    /** Whether the response has the header Server-Signature. */
    bool isSigned = false;
    /** Whether the response is complete and has the Attempt-Id of the request, if any. */
    bool matchesRequest = false;
    TimePoint sentAt{};
    TimePoint endedAt{};
    std::string body;
};

/** A caller with one persistent connection. Not based on POCO's session, which resends requests. */
class SoakCaller
{
public:
    explicit SoakCaller(Endpoint gateway)
        : m_gateway(std::move(gateway))
    {}

    /** Sends one request and waits for its response. */
    CallRecord call(const std::string &id, const std::string &path, bool isIdempotent);

private:
    bool connect();
    void receive(CallRecord &record);
    bool readMore(std::string &input);

    const Endpoint m_gateway;
    std::optional<Poco::Net::StreamSocket> m_socket;
};

} // namespace Sapphireladder::Soak
