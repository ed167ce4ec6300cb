#pragma once

#include "Soak/FakeStore.h"
#include "Soak/FakeTarget.h"
#include "Soak/FaultProxy.h"
#include "Soak/SoakGateway.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace Sapphireladder::Soak {

/** Routes that the operator put in force, with the time of the store's confirmation. */
struct RouteVersion
{
    unsigned version = 0;
    TimePoint confirmedAt{};
};

/** One request on the route that a version has added. */
struct RouteProbe
{
    std::size_t vm = 0;
    RouteVersion route;
    TimePoint sentAt{};
    TimePoint endedAt{};
    unsigned status = 0;
};

/** Time in which a VM, or its link to the store, was disturbed. */
struct Disturbance
{
    TimePoint begin{};
    TimePoint end = TimePoint::max();
    std::string kind;
};

/**
 * A fleet of gateway processes in three availability zones, each with a link of its own to the
 * store. Two VMs of each zone have more cores than the others, and so become relays.
 */
class ConfigFleet
{
public:
    /** Bound on the time until a VM in touch acts by a confirmed version. */
    static constexpr Duration changeBound = std::chrono::seconds(2);
    /** A VM is in touch after this time without a disturbance. */
    static constexpr Duration contactTime = std::chrono::seconds(3);
    static constexpr std::size_t relayCount = 6;

    explicit ConfigFleet(std::size_t vmCount);

    std::size_t size() const { return m_vms.size(); }
    SoakGateway &gateway(std::size_t vm) { return *m_vms[vm]->gateway; }
    FaultProxy &storeLink(std::size_t vm) { return *m_vms[vm]->storeLink; }
    FakeStore &store() { return m_store; }

    /** Puts the next version in force, which adds a route. */
    void changeRoutes();
    /** Puts the present version in force again, after the store has lost it. */
    void repeatRoutes();
    /** @return the newest version confirmed before the time. */
    std::optional<RouteVersion> versionConfirmedBefore(TimePoint time);
    /** Sends a request on the route that the version has added, and records the response. */
    void probe(std::size_t vm, const RouteVersion &route);
    void waitUntilServing(std::size_t vm);

    /** A disturbance of the VM begins. @return its position for endDisturbance() */
    std::size_t beginDisturbance(std::size_t vm, std::string kind);
    void endDisturbance(std::size_t vm, std::size_t position);

    /** @return one line for each request that a VM in touch handled by an outdated version. */
    std::vector<std::string> violations();
    /** @return counts of versions, disturbances and requests. */
    std::string summary();

private:
    struct Vm
    {
        std::unique_ptr<FaultProxy> storeLink;
        std::unique_ptr<SoakGateway> gateway;
        std::vector<Disturbance> disturbances;
    };

    std::string makeRoutes(unsigned version) const;
    bool isInTouch(const RouteProbe &probe) const;
    std::string describe(const RouteProbe &probe) const;

    const TimePoint m_startedAt = SteadyClock().now();
    ExecutionLog m_log;
    FakeStore m_store;
    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    std::vector<std::unique_ptr<Vm>> m_vms;
    std::mutex m_mutex;
    std::vector<RouteVersion> m_versions;
    std::vector<RouteProbe> m_probes;
    std::atomic<unsigned> m_probeNumber = 0;
};

} // namespace Sapphireladder::Soak
