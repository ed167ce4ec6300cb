#include "Request/Loop/RequestLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/** Candidates below which the search also considers targets outside of this VM's subset. */
constexpr std::size_t minPreferredCandidates = 6;
/** Shortest useful time for an attempt: a network round trip and a minimum of work. */
constexpr Duration minAttemptDuration = 10ms;
/** Subtracted from the target's time limit, so that its response still arrives in time. */
constexpr Duration responseMargin = 10ms;
/** Subtracted from the latency objective for the network round trip to the caller. */
constexpr Duration callerRoundTripTime = 20ms;
/** Share of the spare time until the latency objective during which a request leaves one slot of
 * each target to more urgent requests. */
constexpr double slotReservationShare = 0.7;
/** A request leaves slots to more urgent ones if its service time is at least this multiple of
 * theirs. */
constexpr int minServiceTimeRatio = 2;
/** Mean Retry-After of a refusal, as a share of the route's latency objective. */
constexpr double retryAfterObjectiveShare = 0.5;
/** Randomized part of the Retry-After of a refusal because of paused targets, as a share of it. */
constexpr double retryAfterSpread = 0.2;
/** Limits of Retry-After. */
constexpr Duration minRetryAfter = 50ms;
constexpr Duration maxRetryAfter = 1s;
/** Timeout of a request if neither the caller nor the route sets one. */
constexpr Duration defaultTimeout = 30s;
/** Largest response body; responses are buffered completely before they are passed on. */
constexpr std::size_t maxResponseBodySize = 16 * mebibyte;

std::string formatMilliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

} // namespace

ProxyExchange::ProxyExchange(TrafficEnvironment &environment, CallerRequest request,
                             RequestHandler::ReplyHandler reply)
    : m_environment(environment)
    , m_body(std::make_shared<const std::string>(std::move(request.body)))
    , m_request(std::move(request))
    , m_reply(std::move(reply))
    , m_callerMetadata(environment.headerCodec().callerMetadata(m_request.headers))
    , m_deadlineTimer(environment.context().io)
    , m_waitTimer(environment.context().io)
    , m_stallTimer(environment.context().io)
    , m_hedgeTimer(environment.context().io)
    , m_hedge(environment)
{}

bool ProxyExchange::refusesHead(const TrafficEnvironment &environment, const CallerRequest &head)
{
    const auto routes = environment.routes();
    if (!environment.acceptsRequests() || !routes)
        return true;
    const auto *route = routes->findRoute(head.host, head.requestTarget);
    if (!route)
        return true;
    if (!routes->requiresKeys() || route->isPublic)
        return false;
    const auto key = environment.headerCodec().callerMetadata(head.headers).key;
    return !key || !routes->findWorkspace(*key);
}

void ProxyExchange::start()
{
    m_routes = m_environment.routes();
    // A request that is sent to a target now could be cut off by the end of the process.
    if (!m_environment.acceptsRequests()) {
        refuse(RefusalReason::Stopping);
        return;
    }
    if (!m_routes) {
        refuse(RefusalReason::NoPreset);
        return;
    }
    m_route = m_routes->findRoute(m_request.host, m_request.requestTarget);
    if (!m_route) {
        refuse(RefusalReason::UnknownService);
        return;
    }
    if (!identifyCaller()) {
        refuse(RefusalReason::UnknownKey);
        return;
    }
    auto timeout = m_callerMetadata.timeout.value_or(defaultTimeout);
    if (m_route->timeout > Duration::zero())
        timeout = std::min(timeout, m_route->timeout);
    m_deadline = m_request.arrivedAt + timeout;
    const auto choice = m_environment.serviceSelector(*m_route).select(m_route->services);
    m_service = m_route->services[choice].service;
    m_environment.retryTokens(m_service).recordFirstAttempt();
    if (m_environment.isHedgingEnabled())
        m_environment.hedgeBudget(m_service).recordRequest();
    callAfter(m_deadlineTimer, weak_from_this(), m_deadline - m_environment.context().clock.now(),
              &ProxyExchange::deadlinePassed);
    // Before the allowance is asked and a target is probed, since the request would use neither.
    if (const auto refusal = m_environment.checkOverload(m_service, priority())) {
        m_retryAfter = refusal->retryAfter;
        refuse(RefusalReason::Overloaded);
        return;
    }
    if (!m_workspace || !m_workspace->isLimited()) {
        findTarget();
        return;
    }
    m_environment.allowances().acquire(
            *m_workspace, [weak = weak_from_this(), &environment = m_environment, routes = m_routes,
                           workspace = m_workspace](const AllowanceDecision &decision) {
                if (const auto self = weak.lock())
                    self->allowanceDecided(decision);
                else if (decision.isGranted)
                    environment.allowances().giveBack(*workspace);
            });
}

bool ProxyExchange::identifyCaller()
{
    if (!m_routes->requiresKeys())
        return true;
    if (m_callerMetadata.key)
        m_workspace = m_routes->findWorkspace(*m_callerMetadata.key);
    return m_workspace || m_route->isPublic;
}

void ProxyExchange::allowanceDecided(const AllowanceDecision &decision)
{
    m_holdsAllowance = decision.isGranted;
    // The caller may have left, or the deadline passed, before the decision.
    if (!m_reply) {
        returnAllowance();
        return;
    }
    if (decision.isGranted) {
        findTarget();
        return;
    }
    m_retryAfter = decision.retryAfter;
    refuse(RefusalReason::AllowanceExceeded);
}

void ProxyExchange::returnAllowance()
{
    // Only what surely did not run may be counted as unused.
    if (std::exchange(m_holdsAllowance, false) && !m_mayHaveRun)
        m_environment.allowances().giveBack(*m_workspace);
}

RequestPriority ProxyExchange::priority() const
{
    return {m_workspace ? m_workspace->priority : 0, m_route->priority};
}

void ProxyExchange::findTarget()
{
    m_targetUsableAt.reset();
    const auto all = m_environment.upstreams(m_service);
    const auto preferred = m_environment.preferredUpstreams(m_service);
    collectCandidates(m_isSearchWidened ? all : preferred);
    if (m_candidates.size() < minPreferredCandidates)
        collectCandidates(all);
    std::vector<SearchCandidate> candidates;
    candidates.reserve(m_candidates.size());
    for (const auto &it : m_candidates)
        candidates.push_back({&it->stats(), it->spec().isLocal, &it->probeBudget(),
                              m_attemptCount == 0 && it->isWarmupDue()});
    if (candidates.empty() && m_targetUsableAt) {
        perform(RefuseStep{RefusalReason::TargetsPaused});
        return;
    }
    const auto &policy = m_searchPurpose == SearchPurpose::LatencyHedge
                                 ? m_environment.hedgeSearchPolicy()
                                 : m_environment.searchPolicy();
    m_search.emplace(policy, std::move(candidates), searchTimeLimits(), m_environment.random());
    continueSearch();
}

void ProxyExchange::collectCandidates(std::span<const std::shared_ptr<Upstream>> upstreams)
{
    m_candidates.clear();
    const auto now = m_environment.context().clock.now();
    for (const auto &it : upstreams) {
        if (isTried(*it))
            continue;
        if (const auto usableAt = it->eligibility().usableAt(now))
            m_targetUsableAt = std::min(m_targetUsableAt.value_or(*usableAt), *usableAt);
        if (it->isUsable())
            m_candidates.push_back(it);
    }
}

TimePoint ProxyExchange::attemptDeadline() const
{
    return std::min(m_deadline, m_environment.stopDeadline().value_or(m_deadline));
}

TimePoint ProxyExchange::objectiveDeadline() const
{
    const auto deadline = attemptDeadline();
    if (m_route->latencyObjective <= Duration::zero())
        return deadline;
    return std::min(deadline,
                    m_request.arrivedAt + m_route->latencyObjective - callerRoundTripTime);
}

SearchTimeLimits ProxyExchange::searchTimeLimits() const
{
    const auto deadline = attemptDeadline();
    SearchTimeLimits limits{deadline, deadline, m_environment.expectedServiceTime(*m_route),
                            m_request.arrivedAt};
    limits.requiresRecentReport = !m_route->idempotent && m_environment.isAdmissionEnabled();
    // Retries are not held to the latency objective: a late response is better than none.
    if (m_attemptCount == 0)
        limits.objectiveAt = objectiveDeadline();
    const auto spare = limits.objectiveAt - m_request.arrivedAt - limits.serviceTime;
    const auto *urgent = m_routes->highestPriorityRoute(m_service);
    const bool shouldReserveSlot = urgent && urgent->priority < m_route->priority
                                   && limits.serviceTime
                                              >= m_environment.expectedServiceTime(*urgent)
                                                         * minServiceTimeRatio;
    if (shouldReserveSlot && spare > Duration::zero())
        limits.reservesSlotUntil += duration_cast<Duration>(spare * slotReservationShare);
    return limits;
}

void ProxyExchange::continueSearch()
{
    if (!m_search)
        return;
    // All candidates may have been excluded while the search waited.
    const bool hasUsable = std::any_of(m_candidates.begin(), m_candidates.end(),
                                       [](const auto &it) { return it->isUsable(); });
    if (!hasUsable && !m_candidates.empty()) {
        findTarget();
        return;
    }
    const auto step = m_search->next(m_environment.context().clock.now());
    std::visit([this](const auto &it) { perform(it); }, step);
}

void ProxyExchange::perform(const ProbeStep &step)
{
    callAfter(m_waitTimer, weak_from_this(), m_environment.searchPolicy().probeRoundTimeout,
              &ProxyExchange::continueSearch);
    for (const auto i : step.candidates) {
        // The target may have started to drain, or asked for a pause, while the search waited.
        if (!m_candidates[i]->isUsable()) {
            m_search->probeFailed(i);
            continue;
        }
        m_candidates[i]->probe(
                [weak = weak_from_this(), i, upstream = m_candidates[i].get()](bool isAnswered) {
                    const auto self = weak.lock();
                    // The search may have been restarted with other candidates.
                    if (!self || !self->m_search || i >= self->m_candidates.size()
                        || self->m_candidates[i].get() != upstream)
                        return;
                    if (isAnswered)
                        self->m_search->probeAnswered(i);
                    else
                        self->m_search->probeFailed(i);
                    self->continueSearch();
                });
    }
}

bool ProxyExchange::widenSearch()
{
    const bool isSubset = m_environment.preferredUpstreams(m_service).size()
                          < m_environment.upstreams(m_service).size();
    if (!isSubset || std::exchange(m_isSearchWidened, true))
        return false;
    findTarget();
    return true;
}

void ProxyExchange::perform(const WaitStep &step)
{
    // Other targets may have free slots while those of the subset have none.
    if (step.isForFreeSlot && widenSearch())
        return;
    if (step.isForFreeSlot && !std::exchange(m_hasLoggedWait, true))
        m_environment.events().record(EventId::RequestWaits,
                                      {{"request", m_callerMetadata.id.string()},
                                       {"route", m_route->name},
                                       {"asked", std::to_string(m_search->probeCount())}});
    callAfter(m_waitTimer, weak_from_this(), step.until - m_environment.context().clock.now(),
              &ProxyExchange::continueSearch);
}

void ProxyExchange::perform(const SendStep &step)
{
    const auto upstream = m_candidates[step.candidate];
    m_waitTimer.cancel();
    m_search.reset();
    // The target may have started to drain while the search waited for a free slot.
    if (!upstream->isUsable())
        findTarget();
    else if (isAttemptPermitted(*upstream))
        send(upstream);
    else
        awaitAttempts();
}

void ProxyExchange::perform(const RefuseStep &step)
{
    const auto reason = step.reason;
    if (m_searchPurpose == SearchPurpose::LatencyHedge)
        m_hedge.deny(info(), HedgeDenial::NoIdleTarget);
    else if (m_search && widenSearch())
        return;
    if (m_attempts.isEmpty())
        finishFailed(reason);
    else
        awaitAttempts();
}

void ProxyExchange::send(const std::shared_ptr<Upstream> &upstream)
{
    const auto now = m_environment.context().clock.now();
    const auto timeLeft = attemptDeadline() - now - responseMargin;
    // The end of the process would cut the attempt off, while another VM can serve the request.
    const bool isCutShort = attemptDeadline() < m_deadline;
    if (timeLeft
        < (isCutShort ? m_environment.expectedServiceTime(*m_route) : minAttemptDuration)) {
        perform(RefuseStep{RefusalReason::TimeTooShort});
        return;
    }
    const bool isLatencyHedge = std::exchange(m_searchPurpose, SearchPurpose::Attempt)
                                == SearchPurpose::LatencyHedge;
    const RetryPolicy policy{.maxAttempts = m_route->maxAttempts};
    // The response to a request without an id cannot be told from a copy of an earlier one.
    const auto reuse = m_callerMetadata.id.isEmpty()
                               ? ReusePolicy::None
                               : reusePolicyFor(info(), policy, m_attemptCount);
    ++m_attemptCount;
    m_lastTarget = upstream->spec().id;
    m_triedTargets.push_back(m_lastTarget);
    const double cost = upstream->stats().cost(now);
    const auto &attempt = m_attempts.add(
            {m_attemptCount, upstream, upstream->acquire(reuse), now, cost, isLatencyHedge});
    logAttempt(attempt);
    upstream->requestSent();
    UpstreamRequest request;
    request.bytes = encodeAttempt(*upstream, timeLeft);
    request.body = m_body;
    request.isBodyless = m_request.method == "HEAD";
    request.maxResponseBodyBytes = maxResponseBodySize;
    request.originOf = [&codec = m_environment.headerCodec(),
                        id = m_callerMetadata.id](const Response &response) {
        constexpr unsigned firstErrorStatus = 400;
        const auto metadata = codec.responseMetadata(response.status, response.headers);
        if (metadata.request)
            return *metadata.request == id ? ResponseOrigin::Own : ResponseOrigin::Other;
        return response.status >= firstErrorStatus ? ResponseOrigin::Unidentified
                                                   : ResponseOrigin::Other;
    };
    attempt.connection->exchange(
            std::move(request), m_deadline - now,
            [weak = weak_from_this(), number = attempt.number](AttemptResult result) {
                if (const auto self = weak.lock())
                    self->attemptEnded(number, std::move(result));
            });
    const auto requestInfo = info();
    const RetryContext context{requestInfo, policy, m_attemptCount, now,
                               m_environment.expectedServiceTime(*m_route)};
    m_stallTimer.cancel();
    if (const auto limit = stallLimit(context))
        callAfter(m_stallTimer, weak_from_this(), *limit, &ProxyExchange::attemptStalled);
    m_hedgeTimer.cancel();
    const HedgeContext hedgeContext{requestInfo, m_attemptCount,      policy.maxAttempts,
                                    now,         objectiveDeadline(), context.expectedDuration,
                                    cost};
    if (const auto delay = m_hedge.plan(hedgeContext, *m_route))
        callAfter(m_hedgeTimer, weak_from_this(), *delay, &ProxyExchange::hedgeDue);
}

std::string ProxyExchange::encodeAttempt(const Upstream &upstream, Duration timeLeft) const
{
    auto fields = m_request.headers;
    m_environment.headerCodec().setAttemptHeaders(
            fields, {timeLeft, upstream.spec().id.view(),
                     m_workspace ? m_workspace->name : std::string_view()});
    std::string text = m_request.method + ' ' + m_request.requestTarget + " HTTP/1.1\r\n";
    for (const auto &it : fields)
        text.append(it.name).append(": ").append(it.value).append("\r\n");
    if (!m_body->empty() || (m_request.method != "GET" && m_request.method != "HEAD"))
        text.append("Content-Length: ").append(std::to_string(m_body->size())).append("\r\n");
    text.append("\r\n");
    return text;
}

void ProxyExchange::attemptEnded(unsigned number, AttemptResult result)
{
    const auto ended = m_attempts.take(number);
    if (!ended)
        return;
    const auto &attempt = *ended;
    ResponseMetadata metadata;
    if (const auto *answered = std::get_if<Answered>(&result.outcome))
        metadata = m_environment.headerCodec().responseMetadata(answered->response.status,
                                                                answered->response.headers);
    const auto evaluation = evaluateAttempt(result, metadata, m_route->idempotent);
    updateTarget(attempt, result, metadata, evaluation.healthSignal);
    if (const auto *unknown = std::get_if<Unknown>(&result.outcome))
        m_mayHaveRun = *unknown;
    auto *answered = std::get_if<Answered>(&result.outcome);
    if (attempt.isLatencyHedge)
        m_hedge.ended(result, m_workspace);
    if (!evaluation.failure) {
        if (attempt.isLatencyHedge)
            m_environment.observer().hedgeWon();
        m_hedge.recordClosed(m_attempts.all(), *m_route);
        finish(std::move(answered->response));
        return;
    }
    if (answered) {
        m_mayHaveRun = Unknown{UnknownReason::ResponseTruncated};
        m_serverErrorResponse = std::move(answered->response);
    }
    // The other attempt is likely to respond sooner than a third one.
    if (m_hedge.isSent() && m_attempts.hasUnstalled())
        return;
    if (shouldRetry(*evaluation.failure)) {
        m_searchPurpose = SearchPurpose::Attempt;
        findTarget();
    } else if (m_attempts.isEmpty()) {
        finishFailed(evaluation.failure->reason == RetryReason::Shed
                             ? RefusalReason::TargetShed
                             : RefusalReason::TargetUnreachable);
    }
}

void ProxyExchange::updateTarget(const Attempt &attempt, const AttemptResult &result,
                                 const ResponseMetadata &metadata, HealthSignal healthSignal)
{
    const auto now = m_environment.context().clock.now();
    const auto &upstream = attempt.upstream;
    upstream->stats().requestEnded(healthSignal, now);
    if (const auto *notRun = std::get_if<NotRun>(&result.outcome)) {
        if (notRun->reason == RetryReason::Misdirected) {
            upstream->setMisaddressed();
            m_environment.events().record(
                    EventId::TargetMisaddressed,
                    {{"target", upstream->spec().id.string()},
                     {"answered", metadata.target ? metadata.target->string() : "unknown"}});
        }
        // Nothing reached the target over the stale connection, so it may be tried again.
        if (notRun->reason == RetryReason::StaleConnection)
            std::erase(m_triedTargets, upstream->spec().id);
    }
    const bool isOtherTarget = metadata.target && *metadata.target != upstream->spec().id;
    if (!isOtherTarget && !upstream->isMisaddressed())
        upstream->responseReceived(metadata);
    if (metadata.load)
        upstream->stats().loadReported(*metadata.load, true, now);
    if (std::holds_alternative<Unknown>(result.outcome))
        upstream->closeUnansweredSince(attempt.sentAt);
    upstream->release(attempt.connection);
    if (healthSignal == HealthSignal::Served) {
        const auto serviceTime = duration_cast<Duration>((now - attempt.sentAt) / attempt.cost);
        m_environment.recordServiceTime(*m_route, serviceTime);
    }
}

bool ProxyExchange::shouldRetry(const FailedAttempt &failure)
{
    const RetryPolicy policy{.maxAttempts = m_route->maxAttempts};
    const auto now = m_environment.context().clock.now();
    const RetryContext context{info(), policy, m_attemptCount, now,
                               m_environment.expectedServiceTime(*m_route)};
    const auto decision = decideRetry(failure, context, m_environment.retryTokens(m_service));
    if (const auto *denial = std::get_if<RetryDenial>(&decision)) {
        m_environment.observer().retryDenied(*denial);
        m_environment.events().record(EventId::RequestRetried,
                                      {{"request", m_callerMetadata.id.string()},
                                       {"why", std::string(nameOf(failure.reason))},
                                       {"denied", std::string(nameOf(*denial))},
                                       {"attempts", std::to_string(m_attemptCount)}});
        return false;
    }
    m_environment.observer().retried(failure.reason);
    m_environment.events().record(EventId::RequestRetried,
                                  {{"request", m_callerMetadata.id.string()},
                                   {"why", std::string(nameOf(failure.reason))},
                                   {"target", m_lastTarget.string()},
                                   {"attempts", std::to_string(m_attemptCount)},
                                   {"left_ms", formatMilliseconds(m_deadline - now)}});
    return true;
}

bool ProxyExchange::hasUntriedTarget() const
{
    const auto upstreams = m_environment.upstreams(m_service);
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [this](const auto &it) { return it->isUsable() && !isTried(*it); });
}

bool ProxyExchange::isTried(const Upstream &upstream) const
{
    return std::find(m_triedTargets.begin(), m_triedTargets.end(), upstream.spec().id)
           != m_triedTargets.end();
}

void ProxyExchange::hedgeDue()
{
    if (m_attempts.all().size() != 1 || m_search || !m_hedge.isAllowed(info()))
        return;
    m_searchPurpose = SearchPurpose::LatencyHedge;
    findTarget();
}

bool ProxyExchange::isAttemptPermitted(const Upstream &upstream)
{
    switch (m_searchPurpose) {
    case SearchPurpose::StallHedge:
        return shouldRetry({RetryReason::ResponseTimeout, true});
    case SearchPurpose::LatencyHedge:
        return m_hedge.take(info(), m_workspace, upstream.spec().id);
    case SearchPurpose::Attempt:
        break;
    }
    return true;
}

void ProxyExchange::attemptStalled()
{
    const bool isSearching = m_search && m_searchPurpose != SearchPurpose::LatencyHedge;
    if (m_attempts.isEmpty() || isSearching)
        return;
    auto &attempt = m_attempts.latest();
    attempt.isStalled = true;
    attempt.upstream->closeUnansweredSince(attempt.sentAt);
    m_environment.events().record(
            EventId::RequestStalled,
            {{"request", m_callerMetadata.id.string()},
             {"target", attempt.upstream->spec().id.string()},
             {"attempt", std::to_string(attempt.number)},
             {"left_ms", formatMilliseconds(m_deadline - m_environment.context().clock.now())}});
    if (!hasUntriedTarget())
        return;
    m_searchPurpose = SearchPurpose::StallHedge;
    findTarget();
}

void ProxyExchange::awaitAttempts()
{
    m_searchPurpose = SearchPurpose::Attempt;
    m_search.reset();
    m_waitTimer.cancel();
}

void ProxyExchange::closeAttempts(HealthSignal healthSignal)
{
    m_stallTimer.cancel();
    m_hedgeTimer.cancel();
    m_attempts.closeAll(healthSignal, m_environment.context().clock.now());
}

void ProxyExchange::deadlinePassed()
{
    if (!m_reply)
        return;
    if (!m_attempts.isEmpty()) {
        m_mayHaveRun = Unknown{UnknownReason::ResponseTimeout};
        m_hedge.recordClosed(m_attempts.all(), *m_route);
    }
    closeAttempts(HealthSignal::Failed);
    finishFailed(RefusalReason::TimeTooShort);
}

void ProxyExchange::cancel()
{
    m_reply = nullptr;
    m_search.reset();
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
    closeAttempts(HealthSignal::Abandoned);
    if (m_attemptCount == 0)
        returnAllowance();
    m_environment.recordAbandoned();
    m_environment.events().record(EventId::RequestAbandoned,
                                  {{"request", m_callerMetadata.id.string()},
                                   {"attempts", std::to_string(m_attemptCount)},
                                   {"target", m_lastTarget.string()}});
}

RequestInfo ProxyExchange::info() const
{
    RequestInfo info;
    info.id = m_callerMetadata.id;
    info.service = m_service;
    info.method = m_request.method;
    info.path = m_request.requestTarget;
    info.idempotent = m_route->idempotent;
    info.deadline = attemptDeadline();
    return info;
}

void ProxyExchange::refuse(RefusalReason reason)
{
    // An earlier attempt may have run the request, so a refusal ("not run") would be wrong.
    if (m_mayHaveRun)
        finish(*m_mayHaveRun);
    else
        finish(Refusal{reason});
}

void ProxyExchange::finishFailed(RefusalReason refusalReason)
{
    if (m_serverErrorResponse)
        finish(std::move(*m_serverErrorResponse));
    else
        refuse(refusalReason);
}

void ProxyExchange::finish(RequestOutcome outcome)
{
    if (!m_reply)
        return;
    m_deadlineTimer.cancel();
    m_waitTimer.cancel();
    m_search.reset();
    closeAttempts(HealthSignal::Abandoned);
    m_environment.recordOutcome(outcome, m_environment.context().clock.now() - m_request.arrivedAt);
    logOutcome(outcome);
    if (std::holds_alternative<Refusal>(outcome))
        returnAllowance();
    if (auto *response = std::get_if<Response>(&outcome)) {
        std::erase_if(response->headers,
                      [](const auto &it) { return isConnectionSpecificField(it.name); });
        m_environment.headerCodec().removeInternalFields(response->headers);
    }
    auto fields = replyFields(outcome);
    const auto reply = std::exchange(m_reply, nullptr);
    reply({std::move(outcome), std::move(fields)});
}

std::vector<HeaderField> ProxyExchange::replyFields(const RequestOutcome &outcome)
{
    std::vector<HeaderField> fields;
    if (std::holds_alternative<Response>(outcome))
        return fields;
    if (!m_callerMetadata.id.isEmpty())
        fields.push_back(m_environment.headerCodec().requestIdField(m_callerMetadata.id));
    const auto *refusal = std::get_if<Refusal>(&outcome);
    if (!refusal || refusal->reason == RefusalReason::UnknownService
        || refusal->reason == RefusalReason::UnknownKey)
        return fields;
    // Randomized, so that callers that were refused together do not retry at the same time.
    const double jitter = 0.5 + m_environment.random().unit();
    if (refusal->reason == RefusalReason::TargetsPaused) {
        const auto pause = *m_targetUsableAt - m_environment.context().clock.now();
        const auto spread = std::min(pause, maxRetryAfter);
        fields.push_back(
                {"Retry-After",
                 std::to_string(toSeconds(pause) + toSeconds(spread) * retryAfterSpread * jitter)});
        return fields;
    }
    if (m_retryAfter) {
        const auto spread = toSeconds(*m_retryAfter) * retryAfterSpread * jitter;
        fields.push_back({"Retry-After", std::to_string(toSeconds(*m_retryAfter) + spread)});
        return fields;
    }
    const auto objective = m_route ? toSeconds(m_route->latencyObjective)
                                   : toSeconds(maxRetryAfter);
    const double seconds = std::clamp(objective * retryAfterObjectiveShare * jitter,
                                      toSeconds(minRetryAfter), toSeconds(maxRetryAfter));
    fields.push_back({"Retry-After", std::to_string(seconds)});
    return fields;
}

void ProxyExchange::logAttempt(const Attempt &attempt) const
{
    const auto &stats = attempt.upstream->stats();
    const auto reportAt = stats.reportAt();
    m_environment.events().record(
            EventId::RequestSent,
            {{"request", m_callerMetadata.id.string()},
             {"route", m_route->name},
             {"version", std::to_string(m_routes->version())},
             {"target", attempt.upstream->spec().id.string()},
             {"attempt", std::to_string(m_attemptCount)},
             {"cost", std::to_string(attempt.cost)},
             {"load", std::to_string(stats.expectedLoad(attempt.sentAt))},
             {"report_age_ms", reportAt ? formatMilliseconds(attempt.sentAt - *reportAt) : "none"},
             {"waited_ms", formatMilliseconds(attempt.sentAt - m_request.arrivedAt)},
             {"left_ms", formatMilliseconds(m_deadline - attempt.sentAt)}});
}

void ProxyExchange::logOutcome(const RequestOutcome &outcome) const
{
    const auto *refusal = std::get_if<Refusal>(&outcome);
    const auto *unknown = std::get_if<Unknown>(&outcome);
    const auto *response = std::get_if<Response>(&outcome);
    const auto event = refusal   ? EventId::RequestRefused
                       : unknown ? EventId::RequestUnknown
                                 : EventId::RequestAnswered;
    const auto detail = refusal   ? std::string(nameOf(refusal->reason))
                        : unknown ? std::string(nameOf(unknown->reason))
                                  : std::to_string(response->status);
    const auto latency = m_environment.context().clock.now() - m_request.arrivedAt;
    m_environment.events().record(event,
                                  {{"request", m_callerMetadata.id.string()},
                                   {response ? "status" : "why", detail},
                                   {"route", m_route ? m_route->name : "none"},
                                   {"version", std::to_string(m_routes ? m_routes->version() : 0)},
                                   {"workspace", m_workspace ? m_workspace->name : "none"},
                                   {"target", m_lastTarget.string()},
                                   {"attempts", std::to_string(m_attemptCount)},
                                   {"ms", formatMilliseconds(latency)}});
}

} // namespace Sapphireladder
