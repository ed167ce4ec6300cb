#include "Process/Loop/ProcessLoop.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <sstream>

namespace Sapphireladder {

namespace {

/**
 * Fraction of the permitted load probe rate that is used. The rest is headroom for VMs that join
 * before this VM learns the new fleet size.
 */
constexpr double usedProbeShare = 0.85;
/**
 * Part of the load probes to a target that the VMs with the target in their subsets may use. The
 * rest is headroom for targets that are in more subsets than the mean.
 */
constexpr double subsetProbeShare = 0.5;
/** Part of the load probes to a target that the other VMs may use. */
constexpr double otherProbeShare = 0.4;
/** Additional load probes to a cold target from each of the few VMs that may send to it: one before
 * each request. */
constexpr double warmupProbesPerSecond = 1.0;
/** Initial estimate of a route's service time, as a fraction of its latency objective. */
constexpr double initialServiceTimeShare = 0.4;
/** Buffers of all connections to the ready and metrics endpoints. */
constexpr std::size_t statusBufferBytes = mebibyte;
/** Connections to each of the ready and metrics endpoints. */
constexpr std::size_t maxStatusConnections = 16;
/** Unsent bytes that the kernel holds for a caller, if the memory of the VM is known. */
constexpr std::size_t maxUnsentBytes = 64 * kibibyte;
/** Weight of a new sample in the moving average of a route's service time. */
constexpr double serviceTimeSampleWeight = 0.05;
/** Load probes in one search for the target of a hedge. */
constexpr std::size_t maxProbesPerHedge = 4;

SearchPolicy hedgeSearchPolicyOf(SearchPolicy policy)
{
    policy.nextRoundSize = policy.firstRoundSize;
    policy.maxProbesPerPass = maxProbesPerHedge;
    policy.requiresIdleTarget = true;
    return policy;
}

} // namespace

Gateway::Gateway(boost::asio::io_context &io, const Clock &clock, const HeaderCodec &headerCodec,
                 EventSink &events, GatewaySettings settings)
    : m_context{.io = io,
                .clock = clock,
                .buffers = BufferBudget(BufferBudget::maxBytesFor(settings.memoryBytes)),
                .maxUnsentBytes = settings.memoryBytes > 0 ? maxUnsentBytes : 0}
    , m_statusContext{.io = io,
                      .clock = clock,
                      .buffers = BufferBudget(statusBufferBytes),
                      .maxUnsentBytes = maxUnsentBytes}
    , m_headerCodec(headerCodec)
    , m_events(events)
    , m_settings(std::move(settings))
    , m_random(RandomSource::fromSystem())
    , m_hedgeSearchPolicy(hedgeSearchPolicyOf(m_searchPolicy))
    , m_snapshot(std::make_shared<GatewaySnapshot>())
    , m_allowances(m_context, events, m_settings)
    , m_hedges(clock)
    , m_callerSessions(m_context,
                       callerConnectionLimit(m_settings.maxConnections, m_settings.maxDescriptors))
    , m_readySessions(m_statusContext, maxStatusConnections)
    , m_metricsSessions(m_statusContext, maxStatusConnections)
    , m_readyHandler({{"/ready", [this] { return readiness(); }}})
    , m_metricsHandler({{"/metrics", [this] { return textResponse(metricsText()); }}})
    , m_callerListener(
              m_context, [this](TcpSocket socket) { accept(std::move(socket)); },
              [this] { m_callerSessions.shed(); })
    , m_readyListener(
              m_statusContext,
              [this](TcpSocket socket) {
                  m_readySessions.accept(std::move(socket), m_readyHandler);
              },
              [this] { m_callerSessions.shed(); })
    , m_metricsListener(
              m_statusContext,
              [this](TcpSocket socket) {
                  m_metricsSessions.accept(std::move(socket), m_metricsHandler);
              },
              [this] { m_callerSessions.shed(); })
{
    m_hedges.setPolicy(hedgeBudgetPolicy());
}

Gateway::~Gateway() = default;

Result<> Gateway::listen()
{
    TRY(m_callerListener.listen(m_settings.callerEndpoint));
    TRY(m_readyListener.listen(m_settings.readyEndpoint));
    return m_metricsListener.listen(m_settings.metricsEndpoint);
}

void Gateway::publish(std::shared_ptr<const GatewaySnapshot> snapshot)
{
    boost::asio::post(m_context.io, [this, snapshot = std::move(snapshot)]() mutable {
        applySnapshot(std::move(snapshot));
    });
}

void Gateway::reconfigure(const GatewaySettings &settings)
{
    boost::asio::post(m_context.io, [this, settings] {
        m_settings.retryRatio = settings.retryRatio;
        m_settings.retrySlack = settings.retrySlack;
        m_settings.retryWindow = settings.retryWindow;
        m_settings.loadProbesPerTargetPerSecond = settings.loadProbesPerTargetPerSecond;
        m_allowances.reconfigure(settings);
        m_settings.hedgeRatio = settings.hedgeRatio;
        m_settings.admissionMinShare = settings.admissionMinShare;
        m_hedges.setPolicy(hedgeBudgetPolicy());
        m_settings.warmupFactor = settings.warmupFactor;
        m_settings.warmupSlack = settings.warmupSlack;
        applySnapshot(m_snapshot);
    });
}

void Gateway::applySnapshot(std::shared_ptr<const GatewaySnapshot> snapshot)
{
    const bool wasReady = std::holds_alternative<Response>(readiness());
    m_snapshot = std::move(snapshot);
    m_allowances.update(*m_snapshot);
    m_coldShares.update(m_snapshot->routes.get(), m_snapshot->fleetSize, m_settings,
                        m_context.clock.now());
    std::map<TargetId, UpstreamEntry> entries;
    m_upstreamsByService.clear();
    for (const auto &it : m_snapshot->targets) {
        const auto *service = m_snapshot->routes
                                      ? m_snapshot->routes->findService(it.service.view())
                                      : nullptr;
        if (!service)
            continue;
        auto known = m_upstreamEntries.extract(it.id);
        auto entry = known && isSameInstance(known.mapped(), it, service->healthPath)
                             ? std::move(known.mapped())
                             : createEntry(it, *service);
        update(entry, it);
        m_upstreamsByService[it.service].all.push_back(entry.upstream);
        entries.emplace(it.id, std::move(entry));
    }
    for (auto &[name, upstreams] : m_upstreamsByService)
        selectPreferred(upstreams);
    for (const auto &[id, entry] : m_upstreamEntries) {
        // Queued requests may still hold this upstream as a candidate.
        entry.upstream->setDraining(true);
        entry.upstream->closeIdle();
    }
    m_upstreamEntries = std::move(entries);
    m_eligibilities.prune(m_context.clock.now());
    m_hedges.prune();
    for (auto &[name, budget] : m_retryBudgets)
        budget.setPolicy(retryBudgetPolicy());
    if (!wasReady && std::holds_alternative<Response>(readiness()))
        m_events.record(EventId::ProcessReady,
                        {{"version", std::to_string(m_snapshot->routes->version())},
                         {"targets", std::to_string(m_upstreamEntries.size())}});
}

Gateway::UpstreamEntry Gateway::createEntry(const TargetRecord &record,
                                            const UpstreamService &service)
{
    UpstreamSpec spec{record.id, record.endpoint, record.slots, record.zone == m_settings.zone,
                      service.healthPath};
    // Without a record, so that update() applies this one as new.
    return {std::nullopt,
            std::make_shared<Upstream>(m_context, m_headerCodec, m_events, m_upstreamCounters,
                                       std::move(spec),
                                       m_eligibilities.find(record, m_context.clock.now()))};
}

bool Gateway::isSameInstance(const UpstreamEntry &entry, const TargetRecord &record,
                             std::string_view healthPath) const
{
    return entry.record && entry.record->endpoint == record.endpoint
           && entry.record->incarnation == record.incarnation
           && entry.record->service == record.service
           && entry.upstream->spec().healthPath == healthPath;
}

void Gateway::updateWarmup(UpstreamEntry &entry, const TargetRecord &record)
{
    auto &upstream = *entry.upstream;
    const auto allowance = m_coldShares.allowance(record.service, m_settings.vm, record);
    // An unchanged record states what was left when it was received.
    const bool isNews = entry.record != record || !upstream.coldBudget().isLimited();
    upstream.setColdAllowance(allowance);
    if (allowance && isNews)
        upstream.setWarmupLeft(record.warmupLeft);
    if (allowance)
        return;
    const bool startsWarmup = !entry.record || entry.record->warmupLeft != record.warmupLeft
                              || upstream.stats().inFlight() == 0;
    if (startsWarmup && record.warmupLeft > Duration::zero())
        upstream.stats().setWarmupEnd(m_context.clock.now() + record.warmupLeft);
}

void Gateway::update(UpstreamEntry &entry, const TargetRecord &record)
{
    updateWarmup(entry, record);
    entry.record = record;
    auto &stats = entry.upstream->stats();
    stats.setSlots(record.slots);
    entry.upstream->setDraining(record.isDraining);
    entry.upstream->setEvacuated(m_snapshot->evacuatedZones.contains(record.zone));
}

void Gateway::selectPreferred(ServiceUpstreams &upstreams)
{
    std::vector<SubsetTarget> targets;
    std::vector<std::shared_ptr<Upstream>> remaining;
    for (const auto &it : upstreams.all) {
        const auto &eligibility = it->eligibility();
        if (eligibility.isLeaving() || eligibility.isDraining() || eligibility.isEvacuated())
            continue;
        targets.push_back({it->spec().id, it->spec().isLocal});
        remaining.push_back(it);
    }
    const SubsetPolicy policy;
    const double fleetShare = 1.0 / m_snapshot->fleetSize;
    const bool isWhole = targets.size() <= policy.size;
    for (const auto &it : upstreams.all)
        setProbeRate(*it, isWhole ? fleetShare : fleetShare * otherProbeShare);
    // A target is in the subsets of about this share of the VMs.
    const double subsetShare = static_cast<double>(policy.size)
                               / static_cast<double>(std::max<std::size_t>(1, targets.size()));
    upstreams.preferred.clear();
    for (const auto i : selectSubset(targets, m_settings.vm, policy)) {
        upstreams.preferred.push_back(remaining[i]);
        if (!isWhole)
            setProbeRate(*remaining[i], std::min(1.0, fleetShare * subsetProbeShare / subsetShare));
    }
    addWarmups(upstreams);
}

void Gateway::addWarmups(ServiceUpstreams &upstreams)
{
    const auto now = m_context.clock.now();
    for (const auto &it : upstreams.all) {
        const auto &budget = it->coldBudget();
        const auto &eligibility = it->eligibility();
        if (!budget.hasAllowance() || !budget.isCold(now) || eligibility.isLeaving()
            || eligibility.isDraining() || eligibility.isEvacuated())
            continue;
        it->addProbeRate(warmupProbesPerSecond);
        if (std::find(upstreams.preferred.begin(), upstreams.preferred.end(), it)
            == upstreams.preferred.end())
            upstreams.preferred.push_back(it);
    }
}

void Gateway::setProbeRate(Upstream &upstream, double fleetShare)
{
    LoadProbePolicy policy;
    policy.probesPerSecond = m_settings.loadProbesPerTargetPerSecond * usedProbeShare * fleetShare;
    upstream.setProbePolicy(policy);
}

RetryBudgetPolicy Gateway::retryBudgetPolicy() const
{
    return {m_settings.retryRatio, m_settings.retryWindow, m_settings.retrySlack,
            m_snapshot->fleetSize};
}

RequestOutcome Gateway::readiness() const
{
    if (m_isStopping)
        return Refusal{RefusalReason::Stopping};
    if (!m_snapshot->routes || !m_snapshot->hasReadTargets)
        return Refusal{RefusalReason::NoPreset};
    return textResponse("ready\n");
}

std::span<const std::shared_ptr<Upstream>> Gateway::upstreams(const ServiceName &service)
{
    return m_upstreamsByService[service].all;
}

std::span<const std::shared_ptr<Upstream>> Gateway::preferredUpstreams(const ServiceName &service)
{
    return m_upstreamsByService[service].preferred;
}

RetryTokens &Gateway::retryTokens(const ServiceName &service)
{
    return retryBudget(service);
}

WindowedRetryBudget &Gateway::retryBudget(const ServiceName &service)
{
    return m_retryBudgets.try_emplace(service, retryBudgetPolicy(), m_context.clock).first->second;
}

HedgeBudgetPolicy Gateway::hedgeBudgetPolicy() const
{
    return {.ratio = m_settings.hedgeRatio, .window = m_settings.retryWindow};
}

std::optional<OverloadRefusal> Gateway::checkOverload(const ServiceName &service,
                                                      const RequestPriority &priority)
{
    if (!isAdmissionEnabled())
        return std::nullopt;
    std::vector<const TargetStats *> targets;
    for (const auto &it : preferredUpstreams(service))
        targets.push_back(&it->stats());
    const auto now = m_context.clock.now();
    const OverloadPolicy policy{.minShare = m_settings.admissionMinShare};
    auto &rule = m_overloadRules.try_emplace(service, policy).first->second;
    rule.setPolicy(policy);
    return rule.decide(priority, meanOccupancy(targets, now), m_random.unit(), now);
}

HedgeBudget &Gateway::hedgeBudget(const ServiceName &service)
{
    return m_hedges.budget(service, retryBudget(service));
}

WeightedServiceSelector &Gateway::serviceSelector(const Route &route)
{
    return m_serviceSelectors.try_emplace(route.name, m_random.unit()).first->second;
}

Duration Gateway::expectedServiceTime(const Route &route) const
{
    const auto it = m_serviceTimes.find(route.name);
    if (it != m_serviceTimes.end())
        return it->second;
    return duration_cast<Duration>(route.latencyObjective * initialServiceTimeShare);
}

void Gateway::recordServiceTime(const Route &route, Duration serviceTime)
{
    const auto estimate = expectedServiceTime(route);
    m_serviceTimes[route.name] = estimate
                                 + duration_cast<Duration>((serviceTime - estimate)
                                                           * serviceTimeSampleWeight);
    m_hedges.recordLatency(route, serviceTime);
}

void Gateway::recordOutcome(const RequestOutcome &outcome, Duration latency)
{
    m_metrics.recordOutcome(outcome, latency);
}

std::shared_ptr<PendingRequestHandle> Gateway::handle(CallerRequest request, ReplyHandler reply)
{
    auto exchange = std::make_shared<ProxyExchange>(*this, std::move(request), std::move(reply));
    exchange->start();
    return exchange;
}

void Gateway::recordInvalidRequest(RefusalReason reason)
{
    m_metrics.recordOutcome(Refusal{reason}, {});
    m_events.record(EventId::CallerInputRefused, {{"why", std::string(nameOf(reason))}});
}

const RequestLimits &Gateway::limits() const
{
    static const RequestLimits standard;
    return m_snapshot->routes ? m_snapshot->routes->limits() : standard;
}

bool Gateway::refusesHead(const CallerRequest &head) const
{
    return ProxyExchange::refusesHead(*this, head);
}

void Gateway::accept(TcpSocket socket)
{
    if (!m_callerSessions.accept(std::move(socket), *this))
        m_events.record(EventId::CallerConnectionRefused,
                        {{"open", std::to_string(m_callerSessions.size())}});
}

void Gateway::beginStop(TimePoint deadline)
{
    m_isStopping = true;
    m_stopDeadline = deadline;
}

void Gateway::closeIdleSessions()
{
    m_acceptsRequests = false;
    m_callerListener.close();
    for (const auto *pool : {&m_callerSessions, &m_readySessions, &m_metricsSessions}) {
        for (const auto &it : pool->sessions())
            it->closeIfIdle();
    }
}

void Gateway::expireRequests()
{
    // A reply may end its session.
    const auto sessions = m_callerSessions.sessions();
    for (const auto &it : sessions)
        it->expire();
}

bool Gateway::isIdle() const
{
    const auto &sessions = m_callerSessions.sessions();
    return std::none_of(sessions.begin(), sessions.end(),
                        [](const auto &it) { return it->isBusy(); });
}

void Gateway::closeAll()
{
    m_callerListener.close();
    m_readyListener.close();
    m_metricsListener.close();
    m_allowances.close();
    for (const auto &[id, entry] : m_upstreamEntries)
        entry.upstream->closeIdle();
}

std::string Gateway::metricsText()
{
    struct Row
    {
        std::string_view name;
        std::string_view kind;
        std::uint64_t value;
    };
    const auto ageMs = [this](Dependency table) {
        const auto &freshness = m_snapshot->freshness;
        const auto age = freshness ? freshness->age(table, m_context.clock.now())
                                   : Duration::zero();
        return static_cast<std::uint64_t>(std::max<std::int64_t>(0, toMilliseconds(age)));
    };
    const auto &allowances = m_allowances.client().counters();
    constexpr double millionths = 1e6;
    const Row rows[] = {
            {"sapphireladder_routes_age_milliseconds", "gauge", ageMs(Dependency::RouteSource)},
            {"sapphireladder_targets_age_milliseconds", "gauge", ageMs(Dependency::TargetRegistry)},
            {"sapphireladder_store_era", "gauge",
             m_snapshot->freshness ? m_snapshot->freshness->era() : 0},
            {"sapphireladder_route_version", "gauge",
             m_snapshot->routes ? m_snapshot->routes->version() : 0},
            {"sapphireladder_targets", "gauge", m_upstreamEntries.size()},
            {"sapphireladder_evacuated_zones", "gauge", m_snapshot->evacuatedZones.size()},
            {"sapphireladder_fleet_size", "gauge", m_snapshot->fleetSize},
            {"sapphireladder_caller_connections", "gauge", m_callerSessions.size()},
            {"sapphireladder_caller_connection_limit", "gauge", m_callerSessions.maxSessions()},
            {"sapphireladder_caller_connections_shed_total", "counter",
             m_callerSessions.shedCount()},
            {"sapphireladder_buffered_bytes", "gauge", m_context.buffers.usedBytes()},
            {"sapphireladder_buffer_limit_bytes", "gauge", m_context.buffers.maxBytes()},
            {"sapphireladder_buffer_evictions_total", "counter", m_context.buffers.evictionCount()},
            {"sapphireladder_load_questions_total", "counter", m_upstreamCounters.probesSent},
            {"sapphireladder_load_questions_failed_total", "counter",
             m_upstreamCounters.probesFailed},
            {"sapphireladder_target_connections_opened_total", "counter",
             m_upstreamCounters.connectionsOpened},
            {"sapphireladder_targets_announced_leaving_total", "counter",
             m_upstreamCounters.leavingAnnounced},
            {"sapphireladder_target_pauses_total", "counter", m_upstreamCounters.pausesRequested},
            {"sapphireladder_allowance_granted_total", "counter", allowances.granted},
            {"sapphireladder_allowance_refused_total", "counter", allowances.refused},
            {"sapphireladder_allowance_asked_total", "counter", allowances.asked},
            {"sapphireladder_allowance_unanswered_total", "counter", allowances.unanswered},
            {"sapphireladder_allowance_own_tokens_total", "counter", allowances.ownTokens},
            {"sapphireladder_allowance_expired_tokens_total", "counter", allowances.expiredTokens},
            {"sapphireladder_allowance_invalid_messages_total", "counter",
             m_allowances.invalidMessages()},
            {"sapphireladder_allowance_collectors", "gauge",
             m_allowances.client().collectorCount()},
            {"sapphireladder_allowance_delegated_share_millionths", "gauge",
             static_cast<std::uint64_t>(m_allowances.client().delegatedShare() * millionths)},
            {"sapphireladder_cold_target_requests_total", "counter", m_upstreamCounters.sentToCold},
            {"sapphireladder_abandoned_total", "counter", m_abandonedCount},
    };
    std::ostringstream out;
    for (const auto &it : rows)
        out << "# TYPE " << it.name << ' ' << it.kind << '\n' << it.name << ' ' << it.value << '\n';
    out << "# TYPE sapphireladder_admitted_share gauge\n";
    for (const auto &[service, rule] : m_overloadRules)
        out << "sapphireladder_admitted_share{service=\"" << service.view() << "\"} "
            << rule.admittedShare() << '\n';
    if (m_snapshot->routes)
        out << "# TYPE sapphireladder_route_source gauge\nsapphireladder_route_source{vm=\""
            << m_snapshot->routesSource << "\"} 1\n";
    out << m_metrics.toText();
    return out.str();
}

} // namespace Sapphireladder
