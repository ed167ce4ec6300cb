#include "Target.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace Review {

namespace {

constexpr Milliseconds idleTimeout{10000};
/** Interval at which a working target checks whether its caller is still there. */
constexpr Milliseconds workStep{5};

} // namespace

Target::Target(TargetOptions options, Record &record)
    : m_options(std::move(options))
    , m_record(record)
    , m_server([this](HttpConnection &connection) { serve(connection); })
{}

std::string Target::entry(const std::string &state, unsigned sequence) const
{
    const nlohmann::json entry = {{"service", m_options.service},
                                  {"address", "127.0.0.1:" + std::to_string(m_server.port())},
                                  {"zone", "zone-a"},
                                  {"version", "v1"},
                                  {"slots", m_options.slots},
                                  {"state", state},
                                  {warmupKey, 0},
                                  {"born", 1790000000000},
                                  {"seq", sequence}};
    return entry.dump();
}

void Target::setFull(bool isFull)
{
    const std::lock_guard lock(m_mutex);
    m_isFull = isFull;
    m_slotFreed.notify_all();
}

unsigned Target::runCount(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return m_runCounts[requestId];
}

bool Target::isLeft(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return m_leftRequests.contains(requestId);
}

void Target::serve(HttpConnection &connection)
{
    std::string lateCopy;
    HttpMessage request;
    while (connection.read(request, idleTimeout) == ReadResult::Complete) {
        if (!lateCopy.empty()) {
            m_record.add("target " + m_options.id + " sends a second copy of "
                         + lateCopy.substr(0, lateCopy.find('\r')) + " where the response to "
                         + request.startLine + ' ' + request.field(attemptIdField)
                         + " is expected");
            if (!connection.write(std::exchange(lateCopy, {})))
                return;
        }
        const auto response = respond(connection, request);
        if (response.empty() || !connection.write(response))
            return;
        if (shouldCopy())
            lateCopy = response;
    }
}

bool Target::shouldCopy()
{
    const std::lock_guard lock(m_mutex);
    return std::uniform_real_distribution<>(0, 1)(m_random) < m_lateCopyShare;
}

std::string Target::respond(HttpConnection &connection, const HttpMessage &request)
{
    constexpr Milliseconds maxProbeWait{5000};
    if (request.target() == "/health") {
        if (m_options.tellsLoad)
            return health();
        if (!takeSlot(Clock::now() + maxProbeWait))
            return shed(encodeField(instanceIdField, m_options.id));
        releaseSlot();
        return health();
    }
    const auto expected = request.field(expectInstanceField);
    if (!expected.empty() && expected != m_options.id)
        return encodeResponse(421, encodeField(instanceIdField, m_options.id), {});
    const auto limit = std::strtoul(request.field(deadlineField).c_str(), nullptr, 10);
    if (!takeSlot(Clock::now() + Milliseconds(limit)))
        return shed(encodeField(attemptIdField, request.field(attemptIdField)));
    auto response = run(connection, request);
    releaseSlot();
    return response;
}

std::string Target::load()
{
    auto keepAlive = encodeField("Keep-Alive", "timeout=10");
    if (!m_options.tellsLoad)
        return keepAlive;
    const std::lock_guard lock(m_mutex);
    const auto running = m_isFull ? m_options.slots : m_running;
    const auto waiting = m_isFull ? m_options.maxWaiting : m_waiting;
    return encodeField(loadField, std::to_string(running) + ',' + std::to_string(waiting) + ','
                                          + std::to_string(m_options.slots) + ",100")
           + keepAlive;
}

std::string Target::health()
{
    return encodeResponse(m_reportsUnhealthy ? 503 : 200,
                          encodeField(instanceIdField, m_options.id) + load(), {});
}

std::string Target::shed(const std::string &idField)
{
    return encodeResponse(503, idField + encodeField(notExecutedField, "1") + load(), {});
}

bool Target::takeSlot(Clock::time_point deadline)
{
    std::unique_lock lock(m_mutex);
    if (m_isFull || (m_running >= m_options.slots && m_waiting >= m_options.maxWaiting))
        return false;
    ++m_waiting;
    const bool hasSlot = m_slotFreed.wait_until(lock, deadline,
                                                [this] { return m_running < m_options.slots; });
    --m_waiting;
    if (hasSlot)
        ++m_running;
    return hasSlot;
}

void Target::releaseSlot()
{
    const std::lock_guard lock(m_mutex);
    --m_running;
    m_slotFreed.notify_one();
}

std::string Target::run(HttpConnection &connection, const HttpMessage &request)
{
    const auto id = request.field(attemptIdField);
    const auto limit = std::strtoul(request.field(deadlineField).c_str(), nullptr, 10);
    const auto deadline = Clock::now() + Milliseconds(limit);
    const auto end = Clock::now() + m_options.workTime(request);
    m_record.add("target " + m_options.id + " runs " + id);
    {
        const std::lock_guard lock(m_mutex);
        ++m_runCounts[id];
    }
    int status = m_options.statusOf ? m_options.statusOf(request) : 200;
    while (Clock::now() < end && status != 0) {
        std::this_thread::sleep_for(workStep);
        if (connection.isClosedByPeer()) {
            m_record.add("target " + m_options.id + " is left by the caller of " + id);
            status = 0;
        } else if (Clock::now() >= deadline) {
            status = 504;
            break;
        }
    }
    if (status == 0) {
        const std::lock_guard lock(m_mutex);
        m_leftRequests.insert(id);
        return {};
    }
    m_record.add("target " + m_options.id + " responds " + std::to_string(status) + " to " + id);
    const std::string body = "result of " + id;
    return encodeResponse(status,
                          encodeField(attemptIdField, id)
                                  + encodeField(signatureField, m_options.id + '.' + id) + load(),
                          body);
}

} // namespace Review
