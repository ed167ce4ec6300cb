#include "Testbed/Testbed.h"

#include <deque>
#include <thread>

namespace Sapphireladder::Testbed {

namespace {

/** Maximum size of a response body that the load generator accepts. */
constexpr std::size_t maxResponseBytes = 16 * mebibyte;

} // namespace

LoadCaller::LoadCaller(const LoadOptions &options)
    : m_options(options)
    , m_body(options.bodySize, 'b')
    , m_idleSessions(options.endpoints.size())
{}

void LoadCaller::run(LoadPlan &plan)
{
    while (const auto request = plan.next(m_clock.now())) {
        std::this_thread::sleep_until(request->start);
        send(*request);
    }
}

Result<std::unique_ptr<UpstreamSession>> LoadCaller::takeSession(std::size_t endpointIndex,
                                                                 TimePoint deadline)
{
    auto idle = std::move(m_idleSessions[endpointIndex]);
    if (idle && !idle->hasUnexpectedInput())
        return idle;
    return UpstreamSession::create(m_options.endpoints[endpointIndex], deadline);
}

void LoadCaller::send(const PlannedRequest &request)
{
    const auto deadline = m_clock.now() + m_options.timeout;
    auto session = takeSession(request.endpointIndex, deadline);
    if (!session)
        return m_report.addRefused("caller-connect-failed");
    Poco::Net::HTTPRequest message(request.method, m_options.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    message.setHost(m_options.service);
    message.set(requestIdHeader, request.id);
    message.set(timeoutHeader, std::to_string(toMilliseconds(m_options.timeout)));
    message.set(classHeader, request.deferrable ? "deferrable" : "urgent");
    if (!request.key.empty())
        message.set(idempotencyKeyHeader, request.key);
    const std::string_view body = request.method == "GET" ? std::string_view() : m_body;
    // A VM that gives up at the deadline still needs time to deliver its response.
    constexpr Duration responseGrace = std::chrono::milliseconds(500);
    auto end = exchange(*session.value(), message, body, maxResponseBytes,
                        deadline + responseGrace);
    if (const auto *complete = std::get_if<CompleteResponse>(&end)) {
        recordResponse(request, *complete);
        if (complete->isReusable)
            m_idleSessions[request.endpointIndex] = std::move(session.value());
    } else if (const auto *unknown = std::get_if<Unknown>(&end)) {
        m_report.addUnknown("caller-" + std::string(nameOf(unknown->reason)));
    } else {
        m_report.addRefused("caller-not-sent");
    }
}

void LoadCaller::recordResponse(const PlannedRequest &request, const CompleteResponse &response)
{
    const auto latency = m_clock.now() - request.start;
    const auto status = response.head.status;
    const auto &fields = response.head.fields;
    // Targets called directly send no outcome header, but mark the requests that they shed.
    const ShedMark mark;
    const bool shed = fieldValue(fields, mark.header) == mark.value;
    const auto outcome = fieldValue(fields, outcomeHeader, shed ? "not-run" : "answered");
    if (outcome == "not-run")
        return m_report.addRefused(std::string(fieldValue(fields, reasonHeader, "shed")));
    if (outcome == "unknown")
        return m_report.addUnknown(std::string(fieldValue(fields, reasonHeader, "no-reason")));
    m_report.addAnswered(status, latency);
    constexpr unsigned ok = 200;
    if (status != ok)
        return;
    // A replayed response to a keyed request contains the id of the first request with that key.
    const bool matchesRequestId = fieldValue(fields, requestIdHeader, request.id) == request.id;
    const auto check = checkResponseBody(response.body, request.id);
    const bool mayBeReplayed = !request.key.empty() && check == BodyCheck::OtherRequest;
    if (!matchesRequestId || (check != BodyCheck::Valid && !mayBeReplayed))
        m_report.addIncorrect();
}

LoadTestReport runLoadTest(const LoadOptions &options)
{
    const unsigned n = options.callers > 0 ? options.callers : options.threads;
    LoadPlan plan(options, SteadyClock().now());
    std::deque<LoadCaller> callers;
    for (unsigned i = 0; i < n; ++i)
        callers.emplace_back(options);
    std::vector<std::thread> threads;
    threads.reserve(n);
    for (auto &it : callers)
        threads.emplace_back([&it, &plan] { it.run(plan); });
    LoadTestReport report;
    for (unsigned i = 0; i < n; ++i) {
        threads[i].join();
        report.merge(callers[i].report());
    }
    return report;
}

} // namespace Sapphireladder::Testbed
