#include "Target.h"

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
    return R"({"service":")" + m_options.service + R"(","address":"127.0.0.1:)"
           + std::to_string(m_server.port()) + R"(","zone":"zone-a","version":"v1","slots":)"
           + std::to_string(m_options.slots) + R"(,"state":")" + state
           + R"(","warmup_left_ms":0,"born":1790000000000,"seq":)" + std::to_string(sequence) + "}";
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
                         + request.startLine + ' ' + request.field("Attempt-Id") + " is expected");
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
            return shed("Instance-Id: " + m_options.id + "\r\n");
        releaseSlot();
        return health();
    }
    const auto expected = request.field("Expect-Instance");
    if (!expected.empty() && expected != m_options.id)
        return encodeResponse(421, "Instance-Id: " + m_options.id + "\r\n", {});
    const auto limit = std::strtoul(request.field("Deadline-Ms").c_str(), nullptr, 10);
    if (!takeSlot(Clock::now() + Milliseconds(limit)))
        return shed("Attempt-Id: " + request.field("Attempt-Id") + "\r\n");
    auto response = run(connection, request);
    releaseSlot();
    return response;
}

std::string Target::load()
{
    constexpr const char *keepAlive = "Keep-Alive: timeout=10\r\n";
    if (!m_options.tellsLoad)
        return keepAlive;
    const std::lock_guard lock(m_mutex);
    const auto running = m_isFull ? m_options.slots : m_running;
    const auto waiting = m_isFull ? m_options.maxWaiting : m_waiting;
    return "Server-Load: " + std::to_string(running) + ',' + std::to_string(waiting) + ','
           + std::to_string(m_options.slots) + ",100\r\n" + keepAlive;
}

std::string Target::health()
{
    return encodeResponse(m_reportsUnhealthy ? 503 : 200,
                          "Instance-Id: " + m_options.id + "\r\n" + load(), {});
}

std::string Target::shed(const std::string &idField)
{
    return encodeResponse(503, idField + "Not-Executed: 1\r\n" + load(), {});
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
    const auto id = request.field("Attempt-Id");
    const auto limit = std::strtoul(request.field("Deadline-Ms").c_str(), nullptr, 10);
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
                          "Attempt-Id: " + id + "\r\nServer-Signature: " + m_options.id + '.' + id
                                  + "\r\n" + load(),
                          body);
}

} // namespace Review
