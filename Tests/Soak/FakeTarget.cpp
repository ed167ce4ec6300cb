#include "Soak/FakeTarget.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace Sapphireladder::Soak {

namespace {

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;
/** Service time of a request. */
constexpr Duration serviceTime = 8ms;
/** Arbitrary start time of the targets in their records, in milliseconds. */
constexpr std::uint64_t startTimeMs = 1780946659019;

} // namespace

void ExecutionLog::recordExecution(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    ++m_executions[request];
}

void ExecutionLog::recordViolation(const std::string &violation)
{
    const std::lock_guard lock(m_mutex);
    m_violations.push_back(violation);
}

unsigned ExecutionLog::executionsOf(const std::string &request)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_executions.find(request);
    return it == m_executions.end() ? 0 : it->second;
}

std::vector<std::string> ExecutionLog::violations()
{
    const std::lock_guard lock(m_mutex);
    return m_violations;
}

std::string responseBody(const std::string &request)
{
    return request + std::string(2000, '.') + request;
}

FakeTarget::FakeTarget(std::string id, ExecutionLog &log)
    : m_id(std::move(id))
    , m_log(log)
    , m_server({"127.0.0.1", 0}, [this](Testbed::HttpExchangeContext &it) { handle(it); })
{}

std::string FakeTarget::registration(const Endpoint &address, bool isDraining) const
{
    return nlohmann::json{{"service", "desk"},
                          {"address", address.toString()},
                          {"zone", "z1"},
                          {"version", "v1"},
                          {"slots", 6},
                          {"state", isDraining ? "draining" : "ready"},
                          {"warmup_left_ms", 0},
                          {"born", startTimeMs},
                          {"seq", 1}}
            .dump();
}

void FakeTarget::handle(Testbed::HttpExchangeContext &context)
{
    auto &request = context.request;
    auto &response = context.response;
    response.set("Instance-Id", m_id);
    response.set("Server-Load", "1,0,6,100");
    if (request.getURI() == "/health") {
        Testbed::sendResponse(response, ok, {});
        return;
    }
    const auto id = request.get("Attempt-Id", {});
    response.set("Attempt-Id", id);
    Testbed::readBody(request);
    if (request.get("Expect-Instance", m_id) != m_id) {
        response.set("Not-Executed", "1");
        Testbed::sendResponse(response, misdirected, {});
        return;
    }
    if (id.empty())
        m_log.recordViolation("a request has no Attempt-Id");
    if (!request.has("Deadline-Ms"))
        m_log.recordViolation("request " + id + " has no Deadline-Ms");
    if (m_isDrained)
        m_log.recordViolation("request " + id + " was sent to " + m_id + " after it was drained");
    execute(context, id);
}

void FakeTarget::execute(Testbed::HttpExchangeContext &context, const std::string &request)
{
    enum Fault { Shed, LostResponse, TruncatedResponse, Count };
    const unsigned n = ++m_requestCount;
    const unsigned faultInterval = m_faultInterval;
    const auto fault = faultInterval > 0 && n % faultInterval == 0
                               ? Fault(n / faultInterval % Count)
                               : Count;
    if (fault == Shed) {
        context.response.set("Not-Executed", "1");
        Testbed::sendResponse(context.response, unavailable, {});
        return;
    }
    m_log.recordExecution(request);
    std::this_thread::sleep_for(serviceTime);
    const auto body = responseBody(request);
    if (fault == LostResponse) {
        Testbed::resetConnection(context);
    } else if (fault == TruncatedResponse) {
        Testbed::sendRaw(context, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request
                                          + "\r\nServer-Signature: s\r\nContent-Length: "
                                          + std::to_string(body.size()) + "\r\n\r\n"
                                          + body.substr(0, body.size() / 2));
        Testbed::closeConnection(context);
    } else {
        context.response.set("Server-Signature", "s");
        Testbed::sendResponse(context.response, ok, body);
    }
}

} // namespace Sapphireladder::Soak
