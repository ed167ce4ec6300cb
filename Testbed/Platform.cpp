#include "Testbed/Testbed.h"

#include <Poco/URI.h>

#include <nlohmann/json.hpp>

#include <sstream>

namespace Sapphireladder::Testbed {

namespace {

/** @return the decoded segments of the path. */
std::vector<std::string> pathSegments(const std::string &uri)
{
    // The path is split before decoding, since a key may contain an encoded slash.
    std::vector<std::string> segments;
    std::istringstream path(uri.substr(0, uri.find('?')));
    for (std::string it; std::getline(path, it, '/');) {
        if (!it.empty())
            Poco::URI::decode(it, segments.emplace_back());
    }
    return segments;
}

std::string queryValue(const std::string &uri, std::string_view name)
{
    for (const auto &[key, value] : Poco::URI(uri).getQueryParameters()) {
        if (key == name)
            return value;
    }
    return {};
}

WriteCondition conditionOf(const Poco::Net::HTTPServerRequest &request)
{
    return {request.has("If-None-Match"), request.get("If-Match", "")};
}

} // namespace

Platform::Platform(const Endpoint &endpoint, const PlatformFaults &faults)
    : m_faults(faults)
    , m_random(faults.seed)
    , m_server(endpoint, [this](auto &context) { handle(context); })
{}

Platform::~Platform()
{
    m_stop.stop();
    m_data.stop();
}

std::span<const Platform::Route> Platform::testRoutes()
{
    static constexpr Route routes[] = {
            {"POST", "faults", 1, &Platform::changeFaults},
            {"PUT", "vms", 1, &Platform::setVmList},
            {"GET", "counters", 1, &Platform::showCounters},
    };
    return routes;
}

std::span<const Platform::Route> Platform::platformRoutes()
{
    static constexpr Route routes[] = {
            {"GET", "tables", 3, &Platform::readRow},
            {"PUT", "tables", 3, &Platform::putRow},
            {"DELETE", "tables", 3, &Platform::removeRow},
            {"GET", "tables", 2, &Platform::listRows},
            {"GET", "objects", 2, &Platform::readObject},
            {"PUT", "objects", 2, &Platform::putObject},
            {"GET", "vms", 1, &Platform::showVmList},
    };
    return routes;
}

void Platform::handle(HttpExchangeContext &context)
{
    const auto &uri = context.request.getURI();
    Call call{context, pathSegments(uri), readBody(context.request), {}, false};
    if (route(testRoutes(), call))
        return;
    call.isWrite = context.request.getMethod() != "GET";
    ++(call.isWrite ? m_writes : m_reads);
    call.faults = faultsFor(uri);
    if (!admit(call))
        return;
    if (!route(platformRoutes(), call))
        sendResponse(context.response, 404, "");
}

bool Platform::route(std::span<const Route> routes, Call &call)
{
    for (const auto &it : routes) {
        if (it.method != call.context.request.getMethod() || it.segmentCount != call.segments.size()
            || it.first != call.segments.front())
            continue;
        (this->*it.handle)(call);
        return true;
    }
    return false;
}

PlatformFaults Platform::faultsFor(const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    return path.starts_with(m_faults.onlyPath) ? m_faults : PlatformFaults{};
}

bool Platform::admit(const Call &call)
{
    if (call.faults.down->fate == CallFate::Closed) {
        closeConnection(call.context);
        return false;
    }
    if (call.faults.down->fate == CallFate::Refused) {
        sendResponse(call.context.response, 503, "");
        return false;
    }
    const auto hold = call.faults.delay + (call.isWrite ? call.faults.delayedWrites : Duration());
    if (m_stop.waitFor(hold)) {
        closeConnection(call.context);
        return false;
    }
    return true;
}

void Platform::changeFaults(Call &call)
{
    std::unique_lock lock(m_mutex);
    const auto names = setFields(m_faults, platformFields(), call.body);
    if (names
        && std::find(names.value().begin(), names.value().end(), "seed") != names.value().end())
        m_random = RandomSource(m_faults.seed);
    lock.unlock();
    sendResponse(call.context.response, names ? 200 : 400,
                 names ? std::string() : names.error().toString());
}

void Platform::setVmList(Call &call)
{
    m_data.setVmList(call.body);
    sendResponse(call.context.response, 200, "");
}

void Platform::showCounters(Call &call)
{
    const nlohmann::json counters = {{"reads", m_reads.load()}, {"writes", m_writes.load()}};
    sendResponse(call.context.response, 200, counters.dump());
}

void Platform::readRow(Call &call)
{
    const auto &table = call.segments[1];
    const auto &key = call.segments[2];
    const auto row = m_data.readRow(table, key);
    if (call.faults.oldRowLate > Duration::zero())
        m_data.waitForChange(table, key, row, call.faults.oldRowLate);
    if (!row)
        return sendResponse(call.context.response, 404, "");
    call.context.response.set("ETag", row->tag);
    sendResponse(call.context.response, 200, row->value);
}

void Platform::putRow(Call &call)
{
    endWrite(call, m_data.putRow(call.segments[1], call.segments[2], call.body,
                                 conditionOf(call.context.request)));
}

void Platform::removeRow(Call &call)
{
    endWrite(call, m_data.removeRow(call.segments[1], call.segments[2],
                                    conditionOf(call.context.request)));
}

void Platform::listRows(Call &call)
{
    const auto prefix = queryValue(call.context.request.getURI(), "prefix");
    auto array = nlohmann::json::array();
    for (const auto &it : m_data.listRows(call.segments[1], prefix))
        array.push_back({{"key", it.key}, {"value", it.value}, {"tag", it.tag}});
    sendResponse(call.context.response, 200, array.dump());
}

void Platform::readObject(Call &call)
{
    const auto content = m_data.readObject(call.segments[1]);
    sendResponse(call.context.response, content ? 200 : 404, content.value_or(""));
}

void Platform::putObject(Call &call)
{
    m_data.putObject(call.segments[1], call.body);
    endWrite(call, {});
}

void Platform::showVmList(Call &call)
{
    sendResponse(call.context.response, 200, m_data.vmList(call.faults.vmListLag));
}

void Platform::endWrite(const Call &call, const WriteEnd &end)
{
    const bool tookEffect = end.status < 300;
    if (tookEffect && call.faults.loseAnswers > 0) {
        std::unique_lock lock(m_mutex);
        const bool lost = m_random.unit() < call.faults.loseAnswers;
        lock.unlock();
        if (lost)
            return closeConnection(call.context);
    }
    if (!end.tag.empty())
        call.context.response.set("ETag", end.tag);
    sendResponse(call.context.response, end.status, "");
}

} // namespace Sapphireladder::Testbed
