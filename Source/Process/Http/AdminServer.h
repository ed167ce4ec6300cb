#pragma once

#include "Process/Http/AdminService.h"

#include <Poco/Net/HTTPServer.h>

#include <memory>

namespace Sapphireladder {

/** The HTTP endpoint for operators and for the platform's balancer. */
class AdminServer
{
public:
    /**
     * Starts listening.
     * @param endpoint address for operators
     * @param service answers the requests and outlives the server
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
