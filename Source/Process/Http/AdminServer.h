#pragma once

#include "Process/Http/AdminService.h"

#include <Poco/Net/HTTPServer.h>

#include <memory>

namespace Sapphireladder {

/** HTTP server for operators and for the readiness probes of the platform's load balancer. */
class AdminServer
{
public:
    /**
     * Starts listening.
     * @param endpoint address to listen on
     * @param service handles the requests; must outlive the server
     * @return the server, or ConnectionError::ListenFailed.
     */
    static Result<std::unique_ptr<AdminServer>> create(const Endpoint &endpoint,
                                                       AdminService &service);
    ~AdminServer();

private:
    explicit AdminServer(std::unique_ptr<Poco::Net::HTTPServer> server);

    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

} // namespace Sapphireladder
