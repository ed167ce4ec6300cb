#pragma once

#include "Core/Core.h"
#include "Version/Workspace.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Sapphireladder {

/** A service that a route forwards to, with its relative share of the route's requests. */
struct WeightedService
{
    ServiceName service;
    double weight = 1.0;
};

/** How requests with a matching path prefix are forwarded. */
struct Route
{
    std::string name;
    /** Path prefix; begins and ends with a slash. */
    std::string prefix;
    /** Whether a request may be executed more than once. */
    bool idempotent = false;
    /** Maximum number of targets that one request is sent to. */
    unsigned maxAttempts = 1;
    /** Priority among the routes to a service; 0 is the highest. */
    unsigned priority = 0;
    /** Time limit for the final response. Zero if only the caller's deadline applies. */
    Duration timeout{};
    /** Response time that the operator aims for. Zero if none is set. */
    Duration latencyObjective{};
    /** Whether requests need no API key. */
    bool isPublic = false;
    /** Services that share the requests. Never empty in a RouteTable. */
    std::vector<WeightedService> services;
};

/** Size and time limits of callers' requests. */
struct RequestLimits
{
    std::size_t maxHeadBytes = 16 * kibibyte;
    std::size_t maxBodyBytes = mebibyte;
    Duration headTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(15);
};

/** A service that routes refer to. */
struct UpstreamService
{
    ServiceName name;
    /** Path at which a target reports its health and load. */
    std::string healthPath;
    /** Maximum number of connections to one target from all VMs together. */
    unsigned maxConnections = 0;
    /** How long a target is cold after a start during traffic. Zero if that is not stated. */
    Duration warmupTime{};
    /** Requests per second that a cold target tolerates. Zero if there is no limit. */
    double warmupRequestsPerSecond = 0;
};

/** Routes of one host name. */
struct HostRoutes
{
    std::string host;
    std::vector<Route> routes;
};

/** Everything that the operator configures in one version. */
struct RouteTableContent
{
    std::uint64_t version = 0;
    std::vector<HostRoutes> hosts;
    std::vector<UpstreamService> services;
    RequestLimits limits;
    /** If not empty, requests on routes that are not public need the API key of a workspace. */
    std::vector<Workspace> workspaces;
};

/** One version of the operator's routes. Immutable and shared by all threads. */
class RouteTable
{
public:
    /**
     * @return the table. VersionError::DuplicateName if a host is listed twice or has two routes
     *         with the same prefix. VersionError::OutOfRange if a route's prefix does not begin and
     *         end with a slash, if a weight is negative or all weights of a route are zero, or if a
     *         route refers to a service that is not listed. VersionError::DuplicateName if two
     *         workspaces have the same name or share a key.
     */
    static Result<std::shared_ptr<const RouteTable>> create(RouteTableContent content);

    std::uint64_t version() const { return m_content.version; }
    const RequestLimits &limits() const { return m_content.limits; }
    const std::vector<UpstreamService> &services() const { return m_content.services; }
    /** @return the service of that name, or null. */
    const UpstreamService *findService(std::string_view name) const;
    /**
     * @param host value of the request's Host field; a port is ignored
     * @param requestTarget request target: path, optionally with a query
     * @return the route with the longest matching prefix, or null.
     */
    const Route *findRoute(std::string_view host, std::string_view requestTarget) const;
    /** @return whether requests on routes that are not public need an API key. */
    bool requiresKeys() const { return !m_content.workspaces.empty(); }
    const std::vector<Workspace> &workspaces() const { return m_content.workspaces; }
    /** @return the workspace that holds the key, or null. */
    const Workspace *findWorkspace(const KeyDigest &key) const;
    /** @return the route to the service with the highest priority (lowest number), or null. */
    const Route *highestPriorityRoute(const ServiceName &service) const;

private:
    explicit RouteTable(RouteTableContent content);
    Result<> indexKeys();

    RouteTableContent m_content;
    /** Index of each host by its name in lower case. */
    std::unordered_map<std::string, std::size_t> m_hostIndex;
    /** Route with the highest priority to each service. */
    std::unordered_map<ServiceName, const Route *> m_highestPriority;
    std::unordered_map<KeyDigest, const Workspace *> m_workspacesByKey;
};

} // namespace Sapphireladder
