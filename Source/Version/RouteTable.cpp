#include "Version/Version.h"

#include <algorithm>
#include <set>

namespace Sapphireladder {

namespace {

std::string hostKey(std::string_view host)
{
    return toLowerCase(host.substr(0, host.find(':')));
}

Result<> checkRoute(const RouteTable &table, const Route &route)
{
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
        return makeError(VersionError::OutOfRange, route.prefix);
    double sum = 0;
    for (const auto &it : route.services) {
        if (it.weight < 0 || !table.findService(it.service.view()))
            return makeError(VersionError::OutOfRange, it.service.string());
        sum += it.weight;
    }
    if (sum <= 0)
        return makeError(VersionError::OutOfRange, route.name);
    return success();
}

} // namespace

RouteTable::RouteTable(RouteTableContent content)
    : m_content(std::move(content))
{}

Result<std::shared_ptr<const RouteTable>> RouteTable::create(RouteTableContent content)
{
    std::shared_ptr<RouteTable> table(new RouteTable(std::move(content)));
    const auto &hosts = table->m_content.hosts;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        if (!table->m_hostIndex.emplace(hostKey(hosts[i].host), i).second)
            return makeError(VersionError::DuplicateName, hosts[i].host);
        std::set<std::string_view> prefixes;
        for (const auto &it : hosts[i].routes) {
            TRY(checkRoute(*table, it));
            for (const auto &service : it.services) {
                auto &preferred = table->m_highestPriority.try_emplace(service.service, &it)
                                          .first->second;
                if (it.priority < preferred->priority)
                    preferred = &it;
            }
            if (!prefixes.insert(it.prefix).second)
                return makeError(VersionError::DuplicateName, it.prefix);
        }
    }
    TRY(table->indexKeys());
    return std::shared_ptr<const RouteTable>(std::move(table));
}

Result<> RouteTable::indexKeys()
{
    std::set<std::string_view> names;
    for (const auto &workspace : m_content.workspaces) {
        if (!names.insert(workspace.name).second)
            return makeError(VersionError::DuplicateName, workspace.name);
        for (const auto &key : workspace.keys) {
            if (!m_workspacesByKey.emplace(key, &workspace).second)
                return makeError(VersionError::DuplicateName, "key of " + workspace.name);
        }
    }
    return success();
}

const Workspace *RouteTable::findWorkspace(const KeyDigest &key) const
{
    const auto it = m_workspacesByKey.find(key);
    return it == m_workspacesByKey.end() ? nullptr : it->second;
}

const UpstreamService *RouteTable::findService(std::string_view name) const
{
    const auto it = std::find_if(
            m_content.services.begin(), m_content.services.end(),
            [name](const auto &service) { return service.name.view() == name; });
    return it == m_content.services.end() ? nullptr : &*it;
}

const Route *RouteTable::highestPriorityRoute(const ServiceName &service) const
{
    const auto it = m_highestPriority.find(service);
    return it == m_highestPriority.end() ? nullptr : it->second;
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view requestTarget) const
{
    const auto index = m_hostIndex.find(hostKey(host));
    if (index == m_hostIndex.end())
        return nullptr;
    const auto path = requestTarget.substr(0, requestTarget.find('?'));
    const Route *best = nullptr;
    for (const auto &it : m_content.hosts[index->second].routes) {
        if (path.starts_with(it.prefix) && (!best || it.prefix.size() > best->prefix.size()))
            best = &it;
    }
    return best;
}

} // namespace Sapphireladder
