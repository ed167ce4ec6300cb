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

WriteCondition writeCondition(const Poco::Net::HTTPServerRequest &request)
{
    return {request.has("If-None-Match"), request.get("If-Match", "")};
}

} // namespace

FakePlatform::FakePlatform(const Endpoint &endpoint, const PlatformFaults &faults)
    : m_faults(faults)
    , m_random(faults.seed)
    , m_server(endpoint, [this](auto &context) { handle(context); })
{}

FakePlatform::~FakePlatform()
{
    m_stop.stop();
    m_data.stop();
}

std::span<const FakePlatform::Route> FakePlatform::controlRoutes()
{
    static constexpr Route routes[] = {
            {"POST", "faults", 1, &FakePlatform::changeFaults},
            {"PUT", "vms", 1, &FakePlatform::setVmList},
            {"GET", "counters", 1, &FakePlatform::showCounters},
    };
    return routes;
}

std::span<const FakePlatform::Route> FakePlatform::platformRoutes()
{
    static constexpr Route routes[] = {
            {"GET", "tables", 3, &FakePlatform::readRow},
            {"PUT", "tables", 3, &FakePlatform::putRow},
            {"DELETE", "tables", 3, &FakePlatform::removeRow},
            {"GET", "tables", 2, &FakePlatform::listRows},
            {"GET", "objects", 2, &FakePlatform::readObject},
            {"PUT", "objects", 2, &FakePlatform::putObject},
            {"GET", "vms", 1, &FakePlatform::showVmList},
    };
    return routes;
}

void FakePlatform::handle(HttpExchangeContext &context)
{
    const auto &uri = context.request.getURI();
    Call call{context, pathSegments(uri), readBody(context.request), {}, false};
    if (route(controlRoutes(), call))
        return;
    call.isWrite = context.request.getMethod() != "GET";
    ++(call.isWrite ? m_writes : m_reads);
    call.faults = faultsFor(uri);
    if (!applyFaults(call))
        return;
    if (!route(platformRoutes(), call))
        sendResponse(context.response, 404, "");
}

bool FakePlatform::route(std::span<const Route> routes, Call &call)
{
    for (const auto &it : routes) {
        if (it.method != call.context.request.getMethod() || it.segmentCount != call.segments.size()
            || it.firstSegment != call.segments.front())
            continue;
        (this->*it.handle)(call);
        return true;
    }
    return false;
}

PlatformFaults FakePlatform::faultsFor(const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    return path.starts_with(m_faults.onlyPath) ? m_faults : PlatformFaults{};
}

bool FakePlatform::applyFaults(const Call &call)
{
    if (call.faults.outage->outcome == CallOutcome::Closed) {
        closeConnection(call.context);
        return false;
    }
    if (call.faults.outage->outcome == CallOutcome::Refused) {
        sendResponse(call.context.response, 503, "");
        return false;
    }
    const auto delay = call.faults.delay + (call.isWrite ? call.faults.writeDelay : Duration());
    if (m_stop.waitFor(delay)) {
        closeConnection(call.context);
        return false;
    }
    return true;
}

void FakePlatform::changeFaults(Call &call)
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

void FakePlatform::setVmList(Call &call)
{
    m_data.setVmList(call.body);
    sendResponse(call.context.response, 200, "");
}

void FakePlatform::showCounters(Call &call)
{
    const nlohmann::json counters = {{"reads", m_reads.load()}, {"writes", m_writes.load()}};
    sendResponse(call.context.response, 200, counters.dump());
}

void FakePlatform::readRow(Call &call)
{
    const auto &table = call.segments[1];
    const auto &key = call.segments[2];
    const auto row = m_data.readRow(table, key);
    if (call.faults.maxStaleReadDelay > Duration::zero())
        m_data.waitForChange(table, key, row, call.faults.maxStaleReadDelay);
    if (!row)
        return sendResponse(call.context.response, 404, "");
    call.context.response.set("ETag", row->tag);
    sendResponse(call.context.response, 200, row->value);
}

void FakePlatform::putRow(Call &call)
{
    finishWrite(call, m_data.putRow(call.segments[1], call.segments[2], call.body,
                                    writeCondition(call.context.request)));
}

void FakePlatform::removeRow(Call &call)
{
    finishWrite(call, m_data.removeRow(call.segments[1], call.segments[2],
                                       writeCondition(call.context.request)));
}

void FakePlatform::listRows(Call &call)
{
    const auto prefix = queryValue(call.context.request.getURI(), "prefix");
    auto array = nlohmann::json::array();
    for (const auto &it : m_data.listRows(call.segments[1], prefix))
        array.push_back({{"key", it.key}, {"value", it.value}, {"tag", it.tag}});
    sendResponse(call.context.response, 200, array.dump());
}

void FakePlatform::readObject(Call &call)
{
    const auto content = m_data.readObject(call.segments[1]);
    sendResponse(call.context.response, content ? 200 : 404, content.value_or(""));
}

void FakePlatform::putObject(Call &call)
{
    m_data.putObject(call.segments[1], call.body);
    finishWrite(call, {});
}

void FakePlatform::showVmList(Call &call)
{
    sendResponse(call.context.response, 200, m_data.vmList(call.faults.vmListLag));
}

void FakePlatform::finishWrite(const Call &call, const WriteResult &result)
{
    const bool tookEffect = result.status < 300;
    if (tookEffect && call.faults.lostResponseShare > 0) {
        std::unique_lock lock(m_mutex);
        const bool isLost = m_random.unit() < call.faults.lostResponseShare;
        lock.unlock();
        if (isLost)
            return closeConnection(call.context);
    }
    if (!result.tag.empty())
        call.context.response.set("ETag", result.tag);
    sendResponse(call.context.response, result.status, "");
}

} // namespace Sapphireladder::Testbed
