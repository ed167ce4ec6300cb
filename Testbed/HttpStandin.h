#pragma once

#include "Core/Core.h"

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/TCPServer.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Sapphireladder::Testbed {

/** One request at a stand-in, with the connection that carries it. */
struct HttpExchangeContext
{
    Poco::Net::HTTPServerRequest &request;
    Poco::Net::HTTPServerResponse &response;
    Poco::Net::StreamSocket &socket;
    TimePoint connectionOpenedAt;
};

using HttpHandler = std::function<void(HttpExchangeContext &context)>;

/** The open connections of an HttpStandin. */
class OpenConnections;

/** A small HTTP server whose every request goes to one function. */
class HttpStandin
{
public:
    /**
     * Starts listening.
     * @param endpoint address; port 0 takes a free one
     * @param handler called by several threads, one for each connection
     */
    HttpStandin(const Endpoint &endpoint, HttpHandler handler);
    /** Closes every connection and waits for the handlers to return. */
    ~HttpStandin();

    /** @return the address that it listens on. */
    Endpoint endpoint() const;

private:
    std::shared_ptr<OpenConnections> m_connections;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

/** @return the whole body of the request. */
std::string readBody(Poco::Net::HTTPServerRequest &request);

/** Sends a whole answer. */
void sendAnswer(Poco::Net::HTTPServerResponse &response, unsigned status, std::string_view body);

/** Sends bytes as they are, instead of an answer. */
void sendRaw(const HttpExchangeContext &context, std::string_view bytes);

/** Closes the connection after what was sent. */
void closeConnection(const HttpExchangeContext &context);

/** Closes the connection with a reset, which discards what the peer has not read. */
void resetConnection(const HttpExchangeContext &context);

} // namespace Sapphireladder::Testbed
