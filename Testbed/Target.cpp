#include "Testbed/Testbed.h"

#include "Request/Http/RequestHttp.h"
#include "Version/Version.h"

#include <Poco/Net/HTTPRequest.h>

#include <algorithm>

namespace Sapphireladder::Testbed {

namespace {

/** Interval at which a thread with an unresponsive connection checks whether the server stops. */
constexpr Duration silenceCheckInterval = std::chrono::milliseconds(100);

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

Target::Target(const TargetOptions &options)
    : m_name(options.name)
    , m_slots(options.behaviour.limits, options.behaviour.noise, options.behaviour.seed)
    , m_behaviour(options.behaviour)
    , m_startedAt(m_clock.now())
    , m_silenceSetAt(m_startedAt)
    , m_random(options.behaviour.seed)
    , m_server(options.endpoint, [this](auto &context) { handle(context); })
{}

Target::~Target()
{
    m_stop.stop();
    m_slots.stop();
}

void Target::handle(HttpExchangeContext &context)
{
    static constexpr Page pages[] = {
            {"GET", "/health", &Target::showHealth},
            {"GET", "/load", &Target::showLoad},
            {"GET", "/runs", &Target::showRuns},
            {"GET", "/counters", &Target::showCounters},
            {"POST", "/behaviour", &Target::changeBehaviour},
    };
    const auto &method = context.request.getMethod();
    const auto path = pathOf(context.request.getURI());
    for (const auto &it : pages) {
        if (it.method == method && it.path == path)
            return (this->*it.show)(context);
    }
    serve(context);
}

Target::Situation Target::situation()
{
    const std::lock_guard lock(m_mutex);
    const bool cold = m_clock.now() < m_startedAt + m_behaviour.coldStart;
    return {m_behaviour, m_silenceSetAt, cold, m_inFlightAtChange};
}

void Target::changeBehaviour(HttpExchangeContext &context)
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
    const auto isSet = [&](std::string_view prefix) {
        return std::any_of(names.value().begin(), names.value().end(),
                           [prefix](const auto &it) { return it.starts_with(prefix); });
    };
    const auto now = m_clock.now();
    m_inFlightAtChange = load;
    if (isSet("silent"))
        m_silenceSetAt = now;
    if (isSet("cold_start"))
        m_startedAt = now;
    if (isSet("seed"))
        m_random = RandomSource(m_behaviour.seed);
    m_slots.setLimits(m_behaviour.limits);
    if (isSet("noise"))
        m_slots.setNoise(m_behaviour.noise);
    lock.unlock();
    sendResponse(context.response, 200, "");
}

void Target::showHealth(HttpExchangeContext &context)
{
    ++m_probes;
    const auto now = situation();
    if (staySilent(context, now))
        return;
    const std::string_view state = now.behaviour.draining ? "draining" : now.cold ? "cold" : "ok";
    sendJson(context, {{"state", state}});
}

void Target::showLoad(HttpExchangeContext &context)
{
    ++m_probes;
    const auto now = situation();
    if (staySilent(context, now))
        return;
    sendJson(context, {{"inflight", statedLoad(now)}, {"slots", now.behaviour.limits.slots}});
}

void Target::showRuns(HttpExchangeContext &context)
{
    sendJson(context, m_executions.counts());
}

void Target::showCounters(HttpExchangeContext &context)
{
    sendJson(context, {{"requests", m_requests.load()},
                       {"probes", m_probes.load()},
                       {"shed", m_shed.load()},
                       {"rejected", m_rejected.load()}});
}

unsigned Target::statedLoad(const Situation &now)
{
    const LoadFacts facts{m_slots.load(), now.behaviour.limits.slots, now.inFlightAtChange};
    return now.behaviour.report->state(facts);
}

std::string Target::loadField(const Situation &now)
{
    return std::to_string(statedLoad(now)) + "/" + std::to_string(now.behaviour.limits.slots);
}

bool Target::staySilent(const HttpExchangeContext &context, const Situation &now)
{
    if (!now.behaviour.silent->isSilent(context.connectionOpenedAt, now.silenceSetAt))
        return false;
    // The connection never gets a response, even if new connections are served again.
    char buf[4096];
    context.socket.setReceiveTimeout(
            Poco::Timespan(duration_cast<std::chrono::microseconds>(silenceCheckInterval).count()));
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

void Target::refuse(HttpExchangeContext &context, const Situation &now, bool marked)
{
    const ShedMark mark;
    if (marked)
        context.response.set(mark.header, mark.value);
    context.response.set(requestIdHeader, context.request.get(requestIdHeader, ""));
    context.response.set(loadHeader, loadField(now));
    if (now.behaviour.draining)
        context.response.set(drainingHeader, "true");
    sendResponse(context.response, mark.status, "");
}

void Target::serve(HttpExchangeContext &context)
{
    const auto arrival = m_clock.now();
    const auto body = readBody(context.request);
    ++m_requests;
    const auto now = situation();
    if (staySilent(context, now))
        return;
    if (now.behaviour.reject->rejects) {
        ++m_rejected;
        return refuse(context, now, now.behaviour.reject->marked);
    }
    auto deadline = TimePoint::max();
    const auto timeout = parseUnsigned(context.request.get(timeoutHeader, ""));
    if (timeout)
        deadline = arrival + std::chrono::milliseconds(timeout.value());
    switch (m_slots.acquire(deadline)) {
    case SlotResult::Acquired:
        return runRequest(context, now, body.size());
    case SlotResult::QueueFull:
    case SlotResult::DeadlineExceeded:
        ++m_shed;
        return refuse(context, now, true);
    case SlotResult::Stopped:
        return closeConnection(context);
    }
}

void Target::runRequest(HttpExchangeContext &context, const Situation &now, std::size_t bodySize)
{
    const auto &request = context.request;
    const auto id = request.get(requestIdHeader, "");
    m_executions.record(request.get(idempotencyKeyHeader, id));
    m_stop.waitFor(drawServiceTime(now));
    m_slots.release();
    const auto text = m_name + " answers " + request.getMethod() + " " + request.getURI() + " with "
                      + std::to_string(bodySize) + " bytes";
    // The behaviour may have changed while the request was executed.
    const auto after = situation();
    TargetResponse answer;
    answer.body = makeResponseBody(text, id, after.behaviour.padding);
    answer.headers = {{requestIdHeader, id}, {loadHeader, loadField(after)}};
    if (after.behaviour.draining)
        answer.headers.push_back({drainingHeader, "true"});
    const auto earlier = rememberAnswer(answer);
    const auto *style = drawFault(after.behaviour.answerShare) ? after.behaviour.answer
                                                               : responseModes().data();
    style->sender.send(context, answer, earlier);
}

Duration Target::drawServiceTime(const Situation &now)
{
    const auto &behaviour = now.behaviour;
    const std::lock_guard lock(m_mutex);
    const auto time = behaviour.serviceTimeStyle->draw(behaviour.serviceTime, behaviour.sigma,
                                                       m_random);
    const double factor = behaviour.stragglerFactor * (now.cold ? behaviour.coldFactor : 1);
    return fromSeconds(toSeconds(time) * factor);
}

bool Target::drawFault(double share)
{
    const std::lock_guard lock(m_mutex);
    return m_random.unit() < share;
}

TargetResponse Target::rememberAnswer(const TargetResponse &answer)
{
    const std::lock_guard lock(m_mutex);
    auto earlier = m_earlier.headers.empty()
                           ? TargetResponse{{{requestIdHeader, "earlier"}},
                                            makeResponseBody("earlier answer", "earlier", 0)}
                           : std::move(m_earlier);
    m_earlier = answer;
    return earlier;
}

} // namespace Sapphireladder::Testbed
