#include "Testbed/Testbed.h"

#include "Request/Http/RequestHttp.h"
#include "Version/Version.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>

namespace Sapphireladder::Testbed {

namespace {

/** Interval at which a thread with an unresponsive connection checks whether the server stops. */
constexpr Duration stopCheckInterval = std::chrono::milliseconds(100);

void sendJson(HttpExchangeContext &context, const nlohmann::json &json)
{
    context.response.setContentType("application/json");
    sendResponse(context.response, 200, json.dump());
}

std::string pathOf(const std::string &uri)
{
    return uri.substr(0, uri.find('?'));
}

} // namespace

FakeTarget::FakeTarget(const TargetOptions &options)
    : m_name(options.name)
    , m_slots(options.behaviour.limits, options.behaviour.noise, options.behaviour.seed)
    , m_behaviour(options.behaviour)
    , m_startedAt(m_clock.now())
    , m_silentSince(m_startedAt)
    , m_random(options.behaviour.seed)
    , m_server(options.endpoint, [this](auto &context) { handle(context); })
{}

FakeTarget::~FakeTarget()
{
    m_stop.stop();
    m_slots.stop();
}

void FakeTarget::handle(HttpExchangeContext &context)
{
    static constexpr ControlRoute controlRoutes[] = {
            {"GET", "/health", &FakeTarget::showHealth},
            {"GET", "/load", &FakeTarget::showLoad},
            {"GET", "/runs", &FakeTarget::showExecutions},
            {"GET", "/counters", &FakeTarget::showCounters},
            {"POST", "/behaviour", &FakeTarget::changeBehaviour},
    };
    const auto &method = context.request.getMethod();
    const auto path = pathOf(context.request.getURI());
    for (const auto &it : controlRoutes) {
        if (it.method == method && it.path == path)
            return (this->*it.handle)(context);
    }
    serve(context);
}

FakeTarget::BehaviourSnapshot FakeTarget::takeSnapshot()
{
    const std::lock_guard lock(m_mutex);
    const bool isCold = m_clock.now() < m_startedAt + m_behaviour.coldStart;
    return {m_behaviour, m_silentSince, isCold, m_loadAtChange};
}

void FakeTarget::changeBehaviour(HttpExchangeContext &context)
{
    const auto body = readBody(context.request);
    const auto load = m_slots.load();
    std::unique_lock lock(m_mutex);
    const auto names = setFields(m_behaviour, targetFields(), body);
    if (!names) {
        lock.unlock();
        sendResponse(context.response, 400, names.error().toString());
        return;
    }
    const auto isAnySet = [&](std::string_view prefix) {
        return std::any_of(names.value().begin(), names.value().end(),
                           [prefix](const auto &it) { return it.starts_with(prefix); });
    };
    const auto now = m_clock.now();
    m_loadAtChange = load;
    if (isAnySet("silent"))
        m_silentSince = now;
    if (isAnySet("cold_start"))
        m_startedAt = now;
    if (isAnySet("seed"))
        m_random = RandomSource(m_behaviour.seed);
    m_slots.setLimits(m_behaviour.limits);
    if (isAnySet("noise"))
        m_slots.setNoise(m_behaviour.noise);
    lock.unlock();
    sendResponse(context.response, 200, "");
}

void FakeTarget::showHealth(HttpExchangeContext &context)
{
    ++m_probeCount;
    const auto snapshot = takeSnapshot();
    if (withholdResponse(context, snapshot))
        return;
    const std::string_view state = snapshot.behaviour.draining ? "draining"
                                   : snapshot.isCold           ? "cold"
                                                               : "ok";
    sendJson(context, {{"state", state}});
}

void FakeTarget::showLoad(HttpExchangeContext &context)
{
    ++m_probeCount;
    const auto snapshot = takeSnapshot();
    if (withholdResponse(context, snapshot))
        return;
    sendJson(context,
             {{"inflight", reportedLoad(snapshot)}, {"slots", snapshot.behaviour.limits.slots}});
}

void FakeTarget::showExecutions(HttpExchangeContext &context)
{
    sendJson(context, m_executions.counts());
}

void FakeTarget::showCounters(HttpExchangeContext &context)
{
    sendJson(context, {{"requests", m_requestCount.load()},
                       {"probes", m_probeCount.load()},
                       {"shed", m_shedCount.load()},
                       {"rejected", m_rejectedCount.load()}});
}

unsigned FakeTarget::reportedLoad(const BehaviourSnapshot &snapshot)
{
    const LoadState load{m_slots.load(), snapshot.behaviour.limits.slots, snapshot.loadAtChange};
    return snapshot.behaviour.loadReportMode->reportedLoad(load);
}

std::string FakeTarget::loadHeaderValue(const BehaviourSnapshot &snapshot)
{
    return std::to_string(reportedLoad(snapshot)) + "/"
           + std::to_string(snapshot.behaviour.limits.slots);
}

bool FakeTarget::withholdResponse(const HttpExchangeContext &context,
                                  const BehaviourSnapshot &snapshot)
{
    if (!snapshot.behaviour.silentMode->isSilent(context.connectionOpenedAt, snapshot.silentSince))
        return false;
    // The connection never gets a response, even if new connections are served again.
    char buf[4096];
    context.socket.setReceiveTimeout(
            Poco::Timespan(duration_cast<std::chrono::microseconds>(stopCheckInterval).count()));
    while (!m_stop.waitFor(Duration::zero())) {
        try {
            if (context.socket.receiveBytes(buf, sizeof buf) <= 0)
                break;
        } catch (const Poco::TimeoutException &) {
            // The peer has neither sent data nor closed the connection.
        }
    }
    closeConnection(context);
    return true;
}

void FakeTarget::sendRejection(HttpExchangeContext &context, const BehaviourSnapshot &snapshot,
                               bool isMarked)
{
    const ShedMark mark;
    if (isMarked)
        context.response.set(mark.header, mark.value);
    context.response.set(requestIdHeader, context.request.get(requestIdHeader, ""));
    context.response.set(loadHeader, loadHeaderValue(snapshot));
    if (snapshot.behaviour.draining)
        context.response.set(drainingHeader, "true");
    sendResponse(context.response, mark.status, "");
}

void FakeTarget::serve(HttpExchangeContext &context)
{
    const auto arrival = m_clock.now();
    const auto body = readBody(context.request);
    ++m_requestCount;
    const auto snapshot = takeSnapshot();
    if (withholdResponse(context, snapshot))
        return;
    if (snapshot.behaviour.rejectMode->rejects) {
        ++m_rejectedCount;
        return sendRejection(context, snapshot, snapshot.behaviour.rejectMode->isMarked);
    }
    auto deadline = TimePoint::max();
    const auto timeout = parseUnsigned(context.request.get(timeoutHeader, ""));
    if (timeout)
        deadline = arrival + std::chrono::milliseconds(timeout.value());
    switch (m_slots.acquire(deadline)) {
    case SlotResult::Acquired:
        return executeRequest(context, snapshot, body.size());
    case SlotResult::QueueFull:
    case SlotResult::DeadlineExceeded:
        ++m_shedCount;
        return sendRejection(context, snapshot, true);
    case SlotResult::Stopped:
        return closeConnection(context);
    }
}

void FakeTarget::executeRequest(HttpExchangeContext &context, const BehaviourSnapshot &snapshot,
                                std::size_t bodySize)
{
    const auto &request = context.request;
    const auto id = request.get(requestIdHeader, "");
    m_executions.record(request.get(idempotencyKeyHeader, id));
    m_stop.waitFor(drawServiceTime(snapshot));
    m_slots.release();
    const auto text = m_name + " answers " + request.getMethod() + " " + request.getURI() + " with "
                      + std::to_string(bodySize) + " bytes";
    // The behaviour may have changed while the request was executed.
    const auto current = takeSnapshot();
    TargetResponse response;
    response.body = makeResponseBody(text, id, current.behaviour.padding);
    response.headers = {{requestIdHeader, id}, {loadHeader, loadHeaderValue(current)}};
    if (current.behaviour.draining)
        response.headers.push_back({drainingHeader, "true"});
    const auto earlier = exchangeEarlierResponse(response);
    const auto *mode = drawWithProbability(current.behaviour.responseModeShare)
                               ? current.behaviour.responseMode
                               : responseModes().data();
    mode->sender.send(context, response, earlier);
}

Duration FakeTarget::drawServiceTime(const BehaviourSnapshot &snapshot)
{
    const auto &behaviour = snapshot.behaviour;
    const std::lock_guard lock(m_mutex);
    const auto time = behaviour.serviceTimeDistribution->draw(behaviour.serviceTime,
                                                              behaviour.sigma, m_random);
    const double factor = behaviour.stragglerFactor * (snapshot.isCold ? behaviour.coldFactor : 1);
    return fromSeconds(toSeconds(time) * factor);
}

bool FakeTarget::drawWithProbability(double share)
{
    const std::lock_guard lock(m_mutex);
    return m_random.unit() < share;
}

TargetResponse FakeTarget::exchangeEarlierResponse(const TargetResponse &response)
{
    const std::lock_guard lock(m_mutex);
    auto earlier = m_earlierResponse.headers.empty()
                           ? TargetResponse{{{requestIdHeader, "earlier"}},
                                            makeResponseBody("earlier answer", "earlier", 0)}
                           : std::move(m_earlierResponse);
    m_earlierResponse = response;
    return earlier;
}

} // namespace Sapphireladder::Testbed
