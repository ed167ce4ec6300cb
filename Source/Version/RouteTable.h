#pragma once

#include "Core/Core.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Sapphireladder {

/** One service of a route, with its share of the route's requests. */
struct WeightedService
{
    ServiceName service;
    double weight = 1.0;
};

/** How requests whose path begins with a prefix are forwarded. */
struct Route
{
    std::string name;
    /** Begins and ends with a slash. */
    std::string prefix;
    /** Whether a request may run more than once. */
    bool idempotent = false;
    /** Targets that one request may be sent to. */
    unsigned maxAttempts = 1;
    /** Rank among the routes of a service; 0 is the most urgent. */
    unsigned priority = 0;
    /** Longest time until the final answer. Zero leaves it to the caller's deadline. */
    Duration timeout{};
    /** Time within which an answer has its full worth. Zero if the operator states none. */
    Duration latencyObjective{};
    /** Never empty in a RouteTable. */
    std::vector<WeightedService> services;
};

/** What callers may send, and how long they may take. */
struct RequestLimits
{
    std::size_t headBytes = 16 * kibibyte;
    std::size_t bodyBytes = mebibyte;
    Duration headTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** A service that routes name. */
struct BackendService
{
    ServiceName name;
    /** Path that tells the health and the load of a target. */
    std::string healthPath;
    /** Connections that one target accepts from all VMs together. */
    unsigned maxConnections = 0;
};

/** Routes of one host name. */
struct HostRoutes
{
    std::string host;
    std::vector<Route> routes;
};

/** Everything that the operator sets in one version. */
struct RouteTableContent
{
    std::uint64_t version = 0;
    std::vector<HostRoutes> hosts;
    std::vector<BackendService> services;
    RequestLimits limits;
};

/** One version of the operator's routes. Immutable, shared by all threads. */
class RouteTable
{
public:
    /**
     * @return the table, VersionError::DuplicateName for two routes of one host and prefix, or
     *         VersionError::OutOfRange for a route without services or with a service not listed.
     */
    static Result<std::shared_ptr<const RouteTable>> create(RouteTableContent content);

    std::uint64_t version() const { return m_content.version; }
    const RequestLimits &limits() const { return m_content.limits; }
    const std::vector<BackendService> &services() const { return m_content.services; }
    /** @return the service of that name, or null. */
    const BackendService *findService(std::string_view name) const;
    /**
     * @param host value of the request's Host field; a port is ignored
     * @param target path of the request, with or without a query
     * @return the route with the longest prefix that begins the path, or null.
     */
    const Route *findRoute(std::string_view host, std::string_view target) const;
    /** @return the route with the lowest priority number that names the service, or null. */
    const Route *mostUrgentOf(const ServiceName &service) const;

private:
    explicit RouteTable(RouteTableContent content);

    RouteTableContent m_content;
    /** Index of each host by its name in lower case. */
    std::unordered_map<std::string, std::size_t> m_hostIndex;
    /** Most urgent route of each service. */
    std::unordered_map<ServiceName, const Route *> m_mostUrgent;
};

} // namespace Sapphireladder
