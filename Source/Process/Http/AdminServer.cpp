#include "Process/Http/ProcessHttp.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>

#include <istream>

namespace Sapphireladder {

namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

/** Maximum size of a request body. */
constexpr std::size_t maxAdminBodyBytes = 8 * mebibyte;

std::optional<std::string> readBody(HTTPServerRequest &request)
{
    std::string body;
    char buf[16384];
    auto &stream = request.stream();
    while (stream.read(buf, sizeof buf), stream.gcount() > 0) {
        body.append(buf, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > maxAdminBodyBytes)
            return std::nullopt;
    }
    return body;
}

/** A request to the admin endpoint. The name is the rest of a path that matched by prefix. */
struct AdminCall
{
    AdminService &service;
    std::string_view name;
    std::string_view body;
};

/** An entry of the routing table. A path that ends in "/" matches as a prefix of longer paths. */
struct AdminRoute
{
    std::string_view method;
    std::string_view path;
    AdminResponse (*handler)(const AdminCall &call);
};

constexpr AdminRoute routes[] = {
        {"GET", "/ready", [](const AdminCall &call) { return call.service.ready(); }},
        {"GET", "/status", [](const AdminCall &call) { return call.service.status(); }},
        {"GET", "/metrics", [](const AdminCall &call) { return call.service.metrics(); }},
        {"GET", "/presets", [](const AdminCall &call) { return call.service.listPresets(); }},
        {"GET", "/presets/",
         [](const AdminCall &call) { return call.service.showPreset(call.name); }},
        {"PUT", "/presets/",
         [](const AdminCall &call) { return call.service.putPreset(call.name, call.body); }},
        {"GET", "/preset/in-force",
         [](const AdminCall &call) { return call.service.activePreset(); }},
        {"POST", "/preset/in-force",
         [](const AdminCall &call) { return call.service.switchPreset(call.body); }},
};

bool matches(const AdminRoute &route, std::string_view method, std::string_view path)
{
    if (method != route.method)
        return false;
    if (!route.path.ends_with('/'))
        return path == route.path;
    return path.size() > route.path.size() && path.starts_with(route.path);
}

AdminResponse dispatch(AdminService &service, HTTPServerRequest &request)
{
    const std::string path = request.getURI();
    for (const auto &it : routes) {
        if (!matches(it, request.getMethod(), path))
            continue;
        const auto body = readBody(request);
        if (!body)
            return {413, "text/plain", "request body exceeds the limit of 8 MiB\n"};
        const auto name = std::string_view(path).substr(std::min(it.path.size(), path.size()));
        return it.handler({service, name, *body});
    }
    return {404, "text/plain", "unknown method or path\n"};
}

class AdminHandler final : public Poco::Net::HTTPRequestHandler
{
public:
    explicit AdminHandler(AdminService &service)
        : m_service(service)
    {}

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const auto adminResponse = dispatch(m_service, request);
        response.setStatusAndReason(
                static_cast<Poco::Net::HTTPResponse::HTTPStatus>(adminResponse.status));
        response.setContentType(adminResponse.contentType);
        // Only two threads serve this endpoint, and a persistent connection would occupy one.
        response.setKeepAlive(false);
        response.sendBuffer(adminResponse.body.data(), adminResponse.body.size());
    }

private:
    AdminService &m_service;
};

class AdminHandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit AdminHandlerFactory(AdminService &service)
        : m_service(service)
    {}

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new AdminHandler(m_service);
    }

private:
    AdminService &m_service;
};

Poco::Net::HTTPServerParams::Ptr adminParams()
{
    Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
    constexpr int adminThreads = 2;
    constexpr int timeoutSeconds = 5;
    params->setMaxThreads(adminThreads);
    params->setMaxQueued(64);
    params->setKeepAlive(false);
    params->setTimeout(Poco::Timespan(timeoutSeconds, 0));
    return params;
}

} // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::create(const Endpoint &endpoint,
                                                         AdminService &service)
{
    try {
        Poco::Net::ServerSocket socket;
        // reuseAddress, but not reusePort: with POCO's default another process could listen on the
        // same port.
        socket.bind(Poco::Net::SocketAddress(endpoint.host, endpoint.port), true, false);
        socket.listen();
        auto server = std::make_unique<Poco::Net::HTTPServer>(new AdminHandlerFactory(service),
                                                              socket, adminParams());
        server->start();
        return std::unique_ptr<AdminServer>(new AdminServer(std::move(server)));
    } catch (const Poco::Exception &) {
        return makeError(ConnectionError::ListenFailed, endpoint.toString());
    }
}

AdminServer::AdminServer(std::unique_ptr<Poco::Net::HTTPServer> server)
    : m_server(std::move(server))
{}

AdminServer::~AdminServer()
{
    m_server->stopAll(false);
}

} // namespace Sapphireladder
