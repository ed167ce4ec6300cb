#pragma once

#include "Core/Core.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <functional>
#include <memory>
#include <string>

namespace Sapphireladder::Testbed {

using HttpHandler = std::function<void(Poco::Net::HTTPServerRequest &request,
                                       Poco::Net::HTTPServerResponse &response)>;

/** A small HTTP server whose every request goes to one function. */
class HttpStandin
{
public:
    /**
     * Starts listening.
     * @param endpoint address; port 0 takes a free one
     * @param handler called by several threads
     */
    HttpStandin(const Endpoint &endpoint, HttpHandler handler);
    ~HttpStandin();

    /** @return the address that it listens on. */
    Endpoint endpoint() const;

private:
    std::unique_ptr<Poco::Net::HTTPServer> m_server;
};

/** @return the whole body of the request. */
std::string readBody(Poco::Net::HTTPServerRequest &request);

/** Sends a whole answer. */
void sendAnswer(Poco::Net::HTTPServerResponse &response, unsigned status, std::string_view body);

} // namespace Sapphireladder::Testbed
