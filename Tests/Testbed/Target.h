#pragma once

#include "Testbed/HttpStandin.h"

#include <atomic>

namespace Sapphireladder::Testbed {

/** How a stand-in target behaves. */
struct TargetOptions
{
    Endpoint endpoint;
    std::string name = "target";
    unsigned slots = 6;
    /** Time that a request holds a slot. */
    Duration serviceTime = std::chrono::milliseconds(10);
};

/** A stand-in for one upstream instance. */
class Target
{
public:
    explicit Target(const TargetOptions &options);

    Endpoint endpoint() const { return m_server.endpoint(); }

private:
    void handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response);

    TargetOptions m_options;
    std::atomic<unsigned> m_inFlight{0};
    HttpStandin m_server;
};

} // namespace Sapphireladder::Testbed
