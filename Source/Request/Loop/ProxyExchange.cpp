#include "Request/Loop/RequestLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/** Shortest time in which an attempt can be answered: the way to a target and back, and some work.
 */
constexpr Duration minAttemptTime = 10ms;
/** Taken off the time that a target gets, so that its own answer at the end still arrives in time.
 */
constexpr Duration answerMargin = 10ms;
/** Taken off the latency objective for the way to the caller and back. */
constexpr Duration callerWay = 20ms;
/** Part of the time to spare in which a request leaves slots to more urgent ones. */
constexpr double yieldShare = 0.7;
/** Multiple of an urgent request's work from which other work keeps a slot from several of them. */
constexpr int longWorkFactor = 2;
/** Time until a caller that was refused comes back, as a share of the route's latency objective. */
constexpr double comeBackShare = 0.5;
/** Bounds of the time until a refused caller comes back. */
constexpr Duration minComeBack = 50ms;
constexpr Duration maxComeBack = 1s;
/** Deadline of a request whose caller and route state none. */
constexpr Duration defaultPatience = 30s;
/** Largest answer that is held whole before it is passed on. */
constexpr std::size_t answerLimit = 16 * mebibyte;

std::string milliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

} // namespace

ProxyExchange::ProxyExchange(TrafficHost &host, CallerRequest request,
                             RequestHandler::ReplyHandler reply)
    : m_host(host)
    , m_request(std::move(request))
    , m_reply(std::move(reply))
    , m_terms(host.dialect().callerTerms(m_request.headers))
    , m_deadlineTimer(host.context().io)
    , m_waitTimer(host.context().io)
{}

void ProxyExchange::start()
{
    m_routes = m_host.routes();
    if (!m_routes) {
        refuse(RefusalReason::NoPreset);
        return;
    }
    m_route = m_routes->findRoute(m_request.host, m_request.requestTarget);
    if (!m_route) {
        refuse(RefusalReason::UnknownService);
        return;
    }
    auto patience = m_terms.patience.value_or(defaultPatience);
    if (m_route->timeout > Duration::zero())
        patience = std::min(patience, m_route->timeout);
    m_deadline = m_request.arrivedAt + patience;
    const auto choice = m_host.splitOf(*m_route).choose(m_route->services);
    m_service = m_route->services[choice].service;
    m_host.retryTokens(m_service).recordFirstAttempt();
    callAfter(m_deadlineTimer, weak_from_this(), m_deadline - m_host.context().clock.now(),
              &ProxyExchange::deadlinePassed);
    findTarget();
}

void ProxyExchange::findTarget()
{
    m_candidates.clear();
    std::vector<SearchCandidate> candidates;
    for (const auto &it : m_host.upstreams(m_service)) {
        const bool isTried = std::find(m_tried.begin(), m_tried.end(), it->spec().id)
                             != m_tried.end();
        if (isTried || !it->isUsable())
            continue;
        m_candidates.push_back(it);
        candidates.push_back({&it->figures(), it->spec().isLocal, &it->probeBudget()});
    }
    m_search.emplace(m_host.searchPolicy(), std::move(candidates), searchTime(), m_host.random());
    continueSearch();
}

SearchTime ProxyExchange::searchTime() const
{
    SearchTime time{m_deadline, m_deadline, m_host.expectedWork(*m_route), m_request.arrivedAt};
    // What was begun is finished late rather than given up.
    if (m_route->latencyObjective > Duration::zero() && m_attempts == 0)
        time.objectiveAt = std::min(m_deadline,
                                    m_request.arrivedAt + m_route->latencyObjective - callerWay);
    const auto spare = time.objectiveAt - m_request.arrivedAt - time.work;
    const auto *urgent = m_routes->mostUrgentOf(m_service);
    const bool yields = urgent && urgent->priority < m_route->priority
                        && time.work >= m_host.expectedWork(*urgent) * longWorkFactor;
    if (yields && spare > Duration::zero())
        time.yieldsUntil += duration_cast<Duration>(spare * yieldShare);
    return time;
}

void ProxyExchange::continueSearch()
{
    if (!m_search)
        return;
    const auto step = m_search->next(m_host.context().clock.now());
    std::visit([this](const auto &it) { perform(it); }, step);
}

void ProxyExchange::perform(const AskStep &step)
{
    callAfter(m_waitTimer, weak_from_this(), m_host.searchPolicy().roundTime,
              &ProxyExchange::continueSearch);
    for (const auto i : step.candidates) {
        m_candidates[i]->probe(
                [weak = weak_from_this(), i, upstream = m_candidates[i].get()](bool isAnswered) {
                    const auto self = weak.lock();
                    // The answer may come after the search went on with other candidates.
                    if (!self || !self->m_search || i >= self->m_candidates.size()
                        || self->m_candidates[i].get() != upstream)
                        return;
                    if (isAnswered)
                        self->m_search->answered(i);
                    else
                        self->m_search->failed(i);
                    self->continueSearch();
                });
    }
}

void ProxyExchange::perform(const WaitStep &step)
{
    if (step.isForRoom && !std::exchange(m_hasWaited, true))
        m_host.events().record(EventId::RequestWaits,
                               {{"request", m_terms.id.string()},
                                {"route", m_route->name},
                                {"asked", std::to_string(m_search->asked())}});
    callAfter(m_waitTimer, weak_from_this(), step.until - m_host.context().clock.now(),
              &ProxyExchange::continueSearch);
}

void ProxyExchange::perform(const SendStep &step)
{
    const auto upstream = m_candidates[step.candidate];
    m_waitTimer.cancel();
    m_search.reset();
    // The target may have begun to leave while the search waited for room.
    if (upstream->isUsable())
        send(upstream);
    else
        findTarget();
}

void ProxyExchange::perform(const RefuseStep &step)
{
    const auto reason = step.reason;
    m_search.reset();
    if (m_failedAnswer)
        finish(std::move(*m_failedAnswer));
    else
        refuse(reason);
}

void ProxyExchange::send(const std::shared_ptr<Upstream> &upstream)
{
    const auto now = m_host.context().clock.now();
    const auto timeLeft = m_deadline - now - answerMargin;
    if (timeLeft < minAttemptTime) {
        refuse(RefusalReason::TimeTooShort);
        return;
    }
    const RetryPolicy policy{.maxAttempts = m_route->maxAttempts};
    const auto reuse = reuseFor(info(), policy, m_attempts);
    ++m_attempts;
    m_lastTarget = upstream->spec().id;
    m_tried.push_back(m_lastTarget);
    m_attempt = Attempt{upstream, upstream->acquire(reuse), now, upstream->figures().cost(now)};
    logSent(*m_attempt);
    upstream->figures().sent();
    UpstreamRequest request;
    request.bytes = encodeAttempt(*upstream, timeLeft);
    request.isBodyless = m_request.method == "HEAD";
    request.maxAnswerBodyBytes = answerLimit;
    request.isMatchingAnswer = [&dialect = m_host.dialect(),
                                id = m_terms.id](const Answer &answer) {
        constexpr unsigned firstFailure = 400;
        const auto said = dialect.targetStatement(answer.status, answer.headers);
        return said.request ? *said.request == id : answer.status >= firstFailure;
    };
    m_attempt->connection->exchange(std::move(request), m_deadline - now,
                                    [weak = weak_from_this()](AttemptResult result) {
                                        if (const auto self = weak.lock())
                                            self->attemptEnded(std::move(result));
                                    });
}

std::string ProxyExchange::encodeAttempt(const Upstream &upstream, Duration timeLeft) const
{
    auto fields = m_request.headers;
    m_host.dialect().setAttemptTerms(fields, {timeLeft, upstream.spec().id.view()});
    std::string text = m_request.method + ' ' + m_request.requestTarget + " HTTP/1.1\r\n";
    for (const auto &it : fields)
        text.append(it.name).append(": ").append(it.value).append("\r\n");
    if (!m_request.body.empty() || (m_request.method != "GET" && m_request.method != "HEAD"))
        text.append("Content-Length: ")
                .append(std::to_string(m_request.body.size()))
                .append("\r\n");
    text.append("\r\n").append(m_request.body);
    return text;
}

void ProxyExchange::attemptEnded(AttemptResult result)
{
    TargetStatement said;
    if (const auto *answered = std::get_if<Answered>(&result.end))
        said = m_host.dialect().targetStatement(answered->answer.status, answered->answer.headers);
    const auto judgement = judgeAttempt(result, said, m_route->idempotent);
    learn(result, said, judgement.verdict);
    m_attempt.reset();
    if (const auto *unknown = std::get_if<Unknown>(&result.end))
        m_mayHaveRun = *unknown;
    auto *answered = std::get_if<Answered>(&result.end);
    if (!judgement.failure) {
        finish(std::move(answered->answer));
        return;
    }
    if (answered) {
        m_mayHaveRun = Unknown{UnknownReason::AnswerCut};
        m_failedAnswer = std::move(answered->answer);
    }
    if (mayRetry(*judgement.failure)) {
        findTarget();
        return;
    }
    if (m_failedAnswer)
        finish(std::move(*m_failedAnswer));
    else if (m_mayHaveRun)
        finish(*m_mayHaveRun);
    else if (judgement.failure->reason == RetryReason::Shed)
        refuse(RefusalReason::TargetShed);
    else
        refuse(RefusalReason::TargetUnreachable);
}

void ProxyExchange::learn(const AttemptResult &result, const TargetStatement &said,
                          AttemptVerdict verdict)
{
    const auto now = m_host.context().clock.now();
    const auto &upstream = m_attempt->upstream;
    upstream->figures().ended(verdict, now);
    if (const auto *notRun = std::get_if<NotRun>(&result.end)) {
        if (notRun->reason == RetryReason::Misdirected) {
            upstream->setMisaddressed();
            m_host.events().record(EventId::TargetMisaddressed,
                                   {{"target", upstream->spec().id.string()},
                                    {"answered", said.target ? said.target->string() : "unknown"}});
        }
        // Nothing reached the target on a stale connection, so that it may be tried again.
        if (notRun->reason == RetryReason::StaleConnection)
            m_tried.pop_back();
    }
    if (said.load)
        upstream->figures().reported(*said.load, true, now);
    if (std::holds_alternative<Unknown>(result.end))
        upstream->closeUnansweredSince(m_attempt->sentAt);
    upstream->release(m_attempt->connection);
    if (verdict == AttemptVerdict::Served) {
        const auto work = duration_cast<Duration>((now - m_attempt->sentAt) / m_attempt->cost);
        m_host.recordWork(*m_route, work);
    }
}

bool ProxyExchange::mayRetry(const FailedAttempt &failure)
{
    const RetryPolicy policy{.maxAttempts = m_route->maxAttempts};
    const auto now = m_host.context().clock.now();
    const RetryContext context{info(), policy, m_attempts, now, m_host.expectedWork(*m_route)};
    const auto decision = decideRetry(failure, context, m_host.retryTokens(m_service));
    if (const auto *denial = std::get_if<RetryDenial>(&decision)) {
        m_host.observer().retryDenied(*denial);
        m_host.events().record(EventId::RequestRetried,
                               {{"request", m_terms.id.string()},
                                {"why", std::string(nameOf(failure.reason))},
                                {"denied", std::string(nameOf(*denial))},
                                {"attempts", std::to_string(m_attempts)}});
        return false;
    }
    m_host.observer().retried(failure.reason);
    m_host.events().record(EventId::RequestRetried, {{"request", m_terms.id.string()},
                                                     {"why", std::string(nameOf(failure.reason))},
                                                     {"target", m_lastTarget.string()},
                                                     {"attempts", std::to_string(m_attempts)},
                                                     {"left_ms", milliseconds(m_deadline - now)}});
    return true;
}

void ProxyExchange::deadlinePassed()
{
    if (!m_reply)
        return;
    m_search.reset();
    if (m_attempt) {
        m_attempt->upstream->figures().ended(AttemptVerdict::Failed, m_host.context().clock.now());
        m_attempt->connection->close();
        m_attempt.reset();
        finish(Unknown{UnknownReason::AnswerTimeout});
    } else if (m_failedAnswer) {
        finish(std::move(*m_failedAnswer));
    } else {
        refuse(RefusalReason::TimeTooShort);
    }
}

void ProxyExchange::cancel()
{
    m_reply = nullptr;
    m_search.reset();
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
    if (m_attempt) {
        const auto now = m_host.context().clock.now();
        m_attempt->upstream->figures().ended(AttemptVerdict::Abandoned, now);
        m_attempt->connection->close();
        m_attempt.reset();
    }
    m_host.recordAbandoned();
    m_host.events().record(EventId::RequestAbandoned, {{"request", m_terms.id.string()},
                                                       {"attempts", std::to_string(m_attempts)},
                                                       {"target", m_lastTarget.string()}});
}

RequestInfo ProxyExchange::info() const
{
    RequestInfo info;
    info.id = m_terms.id;
    info.service = m_service;
    info.method = m_request.method;
    info.path = m_request.requestTarget;
    info.idempotent = m_route->idempotent;
    info.deadline = m_deadline;
    return info;
}

void ProxyExchange::refuse(RefusalReason reason)
{
    // An earlier attempt may have run the request, so that "not run" would not be true.
    if (m_mayHaveRun)
        finish(*m_mayHaveRun);
    else
        finish(Refusal{reason});
}

void ProxyExchange::finish(RequestOutcome outcome)
{
    if (!m_reply)
        return;
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
    m_host.recordOutcome(outcome, m_host.context().clock.now() - m_request.arrivedAt);
    logEnd(outcome);
    if (auto *answer = std::get_if<Answer>(&outcome)) {
        std::erase_if(answer->headers,
                      [](const auto &it) { return isConnectionSpecificField(it.name); });
        m_host.dialect().removeInternalFields(answer->headers);
    }
    auto fields = replyFields(outcome);
    const auto reply = std::exchange(m_reply, nullptr);
    reply({std::move(outcome), std::move(fields)});
}

std::vector<HeaderField> ProxyExchange::replyFields(const RequestOutcome &outcome)
{
    std::vector<HeaderField> fields;
    if (std::holds_alternative<Answer>(outcome))
        return fields;
    if (!m_terms.id.isEmpty())
        fields.push_back(m_host.dialect().requestIdField(m_terms.id));
    const auto *refusal = std::get_if<Refusal>(&outcome);
    if (!refusal || refusal->reason == RefusalReason::UnknownService)
        return fields;
    const auto objective = m_route ? toSeconds(m_route->latencyObjective) : toSeconds(maxComeBack);
    // Callers that were refused together come back spread.
    const double spread = 0.5 + m_host.random().unit();
    const double seconds = std::clamp(objective * comeBackShare * spread, toSeconds(minComeBack),
                                      toSeconds(maxComeBack));
    fields.push_back({"Retry-After", std::to_string(seconds)});
    return fields;
}

void ProxyExchange::logSent(const Attempt &attempt) const
{
    const auto &figures = attempt.upstream->figures();
    const auto reportAt = figures.reportAt();
    m_host.events().record(
            EventId::RequestSent,
            {{"request", m_terms.id.string()},
             {"route", m_route->name},
             {"version", std::to_string(m_routes->version())},
             {"target", attempt.upstream->spec().id.string()},
             {"attempt", std::to_string(m_attempts)},
             {"cost", std::to_string(attempt.cost)},
             {"load", std::to_string(figures.expectedLoad(attempt.sentAt))},
             {"report_age_ms", reportAt ? milliseconds(attempt.sentAt - *reportAt) : "none"},
             {"waited_ms", milliseconds(attempt.sentAt - m_request.arrivedAt)},
             {"left_ms", milliseconds(m_deadline - attempt.sentAt)}});
}

void ProxyExchange::logEnd(const RequestOutcome &outcome) const
{
    const auto *refusal = std::get_if<Refusal>(&outcome);
    const auto *unknown = std::get_if<Unknown>(&outcome);
    const auto *answer = std::get_if<Answer>(&outcome);
    const auto event = refusal   ? EventId::RequestRefused
                       : unknown ? EventId::RequestUnknown
                                 : EventId::RequestAnswered;
    const auto what = refusal   ? std::string(nameOf(refusal->reason))
                      : unknown ? std::string(nameOf(unknown->reason))
                                : std::to_string(answer->status);
    const auto latency = m_host.context().clock.now() - m_request.arrivedAt;
    m_host.events().record(event, {{"request", m_terms.id.string()},
                                   {answer ? "status" : "why", what},
                                   {"route", m_route ? m_route->name : "none"},
                                   {"version", std::to_string(m_routes ? m_routes->version() : 0)},
                                   {"target", m_lastTarget.string()},
                                   {"attempts", std::to_string(m_attempts)},
                                   {"ms", milliseconds(latency)}});
}

} // namespace Sapphireladder
