#pragma once

#include "Connection/Http/ConnectionHttp.h"
#include "Testbed/Testbed.h"

namespace Sapphireladder::Testbed {

/** A test's request to a fake server. */
struct StandinRequest
{
    std::string method = "GET";
    std::string path = "/codes/1";
    std::vector<HeaderField> headers = {{"X-Request-Id", "r1"}};
    std::string body;
    Duration timeout = std::chrono::seconds(20);
};

/** Opens a connection to a fake server. */
inline std::unique_ptr<UpstreamSession> openSession(const Endpoint &endpoint)
{
    return std::move(
            UpstreamSession::create(endpoint, SteadyClock().now() + std::chrono::seconds(20))
                    .value());
}

/** Sends a request on an open connection. */
inline ExchangeEnd callOn(UpstreamSession &session, const StandinRequest &request)
{
    Poco::Net::HTTPRequest message(request.method, request.path, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &it : request.headers)
        message.set(it.name, it.value);
    return exchange(session, message, request.body, mebibyte,
                    SteadyClock().now() + request.timeout);
}

/** Sends a request on a new connection. */
inline ExchangeEnd callStandin(const Endpoint &endpoint, const StandinRequest &request = {})
{
    return callOn(*openSession(endpoint), request);
}

/** @return the complete response; throws if there is none, which fails the test. */
inline const WholeAnswer &wholeOf(const ExchangeEnd &end)
{
    return std::get<WholeAnswer>(end);
}

inline unsigned statusOf(const ExchangeEnd &end)
{
    return static_cast<unsigned>(wholeOf(end).head.getStatus());
}

} // namespace Sapphireladder::Testbed
