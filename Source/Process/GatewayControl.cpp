#include "Process/Process.h"

namespace Sapphireladder {

namespace {

constexpr std::string_view dependencyNames[] = {"route-source", "target-registry", "fleet-list",
                                                "relay"};

/** Maximum length of an error in the log. It may quote a value of any size. */
constexpr std::size_t maxLoggedErrorBytes = 200;

std::string millisecondsSince(std::optional<TimePoint> since, TimePoint now)
{
    return since ? std::to_string(toMilliseconds(now - *since)) : "0";
}

} // namespace

std::string_view nameOf(Dependency dependency)
{
    return dependencyNames[static_cast<std::size_t>(dependency)];
}

GatewayControl::GatewayControl(SnapshotSink &sink, EventSink &events, const Clock &clock)
    : m_sink(sink)
    , m_events(events)
    , m_clock(clock)
{}

void GatewayControl::tableUpdated(Dependency table, const TableOrigin &origin)
{
    m_origin = origin;
    m_freshness->set(table, origin.completeUntil);
    m_freshness->setEra(origin.era);
}

void GatewayControl::routesReceived(RouteTableContent content)
{
    const auto version = content.version;
    const auto current = m_routes ? m_routes->version() : 0;
    if (m_routes && version <= current) {
        if (version == current)
            return;
        ++m_counters.routesIgnored;
        m_events.record(EventId::PresetOlderIgnored, {{"version", std::to_string(version)},
                                                      {"in_force", std::to_string(current)}});
        return;
    }
    auto table = RouteTable::create(std::move(content));
    if (!table) {
        routesRejected(table.error());
        return;
    }
    m_routes = std::move(table.value());
    ++m_counters.routesApplied;
    m_events.record(EventId::PresetApplied,
                    {{"version", std::to_string(version)},
                     {"previous", std::to_string(current)},
                     {"source", m_origin.name()},
                     {"age_ms", millisecondsSince(m_origin.completeUntil, m_clock.now())}});
    m_routesSource = m_origin.name();
    m_isDirty = true;
}

void GatewayControl::routesRejected(const Error &error)
{
    ++m_counters.routesRejected;
    m_events.record(EventId::PresetBodyInvalid,
                    {{"why", error.toString()},
                     {"in_force", std::to_string(m_routes ? m_routes->version() : 0)}});
}

void GatewayControl::evacuationsReceived(std::span<const ZoneName> zones)
{
    const std::set<ZoneName> evacuated(zones.begin(), zones.end());
    for (const auto &it : std::set<ZoneName>(m_evacuatedZones)) {
        if (!evacuated.contains(it))
            evacuationChanged(it, false);
    }
    for (const auto &it : evacuated)
        evacuationChanged(it, true);
}

void GatewayControl::evacuationChanged(const ZoneName &zone, bool isEvacuated)
{
    const bool isChanged = isEvacuated ? m_evacuatedZones.insert(zone).second
                                       : m_evacuatedZones.erase(zone) > 0;
    if (!isChanged)
        return;
    m_events.record(isEvacuated ? EventId::ZoneEvacuated : EventId::ZoneReturned,
                    {{"zone", zone.string()},
                     {"source", m_origin.name()},
                     {"age_ms", millisecondsSince(m_origin.completeUntil, m_clock.now())}});
    m_isDirty = true;
}

void GatewayControl::targetsReceived(std::span<const TargetRecord> records)
{
    for (const auto &it : records)
        m_rejectedRecords.erase(it.id);
    m_directory.replaceAll(records, m_clock.now());
    m_hasReadTargets = true;
    m_events.record(EventId::TargetsRead, {{"targets", std::to_string(m_directory.size())}});
    m_isDirty = true;
}

void GatewayControl::targetChanged(const TargetRecord &record)
{
    m_rejectedRecords.erase(record.id);
    m_directory.put(record);
    logTarget(record.isDraining ? EventId::TargetLeaving : EventId::TargetRegistered, record);
    m_isDirty = true;
}

void GatewayControl::targetRemoved(const TargetId &id)
{
    m_rejectedRecords.erase(id);
    m_directory.remove(id, m_clock.now());
    m_events.record(EventId::TargetRemoved, {{"target", id.string()}});
    m_isDirty = true;
}

void GatewayControl::targetRejected(const TargetId &id, const Error &error)
{
    const auto why = error.toString().substr(0, maxLoggedErrorBytes);
    const auto known = m_rejectedRecords.find(id);
    if (known != m_rejectedRecords.end() && known->second == why)
        return;
    ++m_counters.targetsRejected;
    // The record names no target any more, whatever it named before.
    m_isDirty = m_directory.discard(id) || m_isDirty;
    if (m_rejectedRecords.size() < maxRejectedRecords)
        m_rejectedRecords[id] = why;
    m_events.record(EventId::TargetRecordInvalid, {{"target", id.string()}, {"why", why}});
}

void GatewayControl::changesComplete()
{
    if (m_isDirty)
        publish();
}

void GatewayControl::fleetSizeReceived(unsigned vms)
{
    if (vms == 0 || vms == m_fleetSize)
        return;
    if (vms < m_fleetSize && vms > fleetShrinkThreshold * m_fleetSize)
        return;
    m_events.record(EventId::FleetCounted,
                    {{"vms", std::to_string(vms)}, {"previous", std::to_string(m_fleetSize)}});
    m_fleetSize = vms;
    m_isDirty = true;
}

void GatewayControl::relaysReceived(std::span<const Endpoint> relays)
{
    std::vector<Endpoint> collectors;
    for (const auto &it : relays)
        collectors.push_back(allowanceEndpoint(it));
    if (collectors == m_allowanceCollectors)
        return;
    m_allowanceCollectors = std::move(collectors);
    m_isDirty = true;
}

void GatewayControl::dependencyFailed(Dependency dependency, const Error &error)
{
    auto &state = m_dependencies[static_cast<std::size_t>(dependency)];
    if (state.isLost)
        return;
    state = {true, m_clock.now()};
    ++m_counters.dependenciesLost;
    m_events.record(EventId::DependencyLost,
                    {{"dependency", std::string(nameOf(dependency))}, {"why", error.toString()}});
}

void GatewayControl::dependencyResponded(Dependency dependency)
{
    auto &state = m_dependencies[static_cast<std::size_t>(dependency)];
    if (!state.isLost)
        return;
    const auto now = m_clock.now();
    if (dependency == Dependency::TargetRegistry)
        m_directory.registryRecovered(now);
    m_events.record(EventId::DependencyRegained,
                    {{"dependency", std::string(nameOf(dependency))},
                     {"away_ms", millisecondsSince(state.lostAt, now)}});
    state = {};
}

std::optional<TimePoint> GatewayControl::tick()
{
    m_isDirty = m_directory.expire(m_clock.now()) || m_isDirty;
    changesComplete();
    return m_directory.nextExpiry();
}

void GatewayControl::publish()
{
    m_isDirty = false;
    auto snapshot = std::make_shared<GatewaySnapshot>();
    snapshot->routes = m_routes;
    snapshot->routesSource = m_routesSource;
    snapshot->freshness = m_freshness;
    snapshot->targets = m_directory.records();
    snapshot->evacuatedZones = m_evacuatedZones;
    snapshot->fleetSize = m_fleetSize;
    snapshot->allowanceCollectors = m_allowanceCollectors;
    snapshot->hasReadTargets = m_hasReadTargets;
    m_sink.publish(std::move(snapshot));
}

void GatewayControl::logTarget(EventId event, const TargetRecord &record)
{
    m_events.record(event, {{"target", record.id.string()},
                            {"service", record.service.string()},
                            {"address", record.endpoint.toString()},
                            {"incarnation", std::to_string(record.incarnation)},
                            {"warmup_ms", std::to_string(toMilliseconds(record.warmupLeft))}});
}

} // namespace Sapphireladder
