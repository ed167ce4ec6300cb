#include "Soak/ConfigFleet.h"

#include "Soak/SoakCaller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

#include <unistd.h>

namespace Sapphireladder::Soak {

namespace {

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr unsigned notFound = 404;
constexpr std::size_t targetCount = 3;
constexpr std::size_t zoneCount = 3;
/** Versions whose routes are still there. */
constexpr unsigned keptRoutes = 8;
constexpr Duration startTimeout = 20s;

} // namespace

ConfigFleet::ConfigFleet(std::size_t vmCount)
{
    changeRoutes();
    for (std::size_t i = 0; i < targetCount; ++i) {
        m_targets.push_back(std::make_unique<FakeTarget>("i-" + std::to_string(i), m_log));
        m_store.put("servers", m_targets[i]->id(),
                    m_targets[i]->registration(m_targets[i]->endpoint(), false));
    }
    // A network of its own, so that ports stay free while a VM restarts.
    const auto network = "127." + std::to_string(1 + getpid() % 250) + '.';
    for (std::size_t i = 0; i < vmCount; ++i) {
        auto vm = std::make_unique<Vm>();
        vm->storeLink = std::make_unique<FaultProxy>(m_store.endpoint());
        vm->gateway = std::make_unique<SoakGateway>(SoakGatewaySettings{
                .vm = "vm-" + std::to_string(i),
                .zone = "z" + std::to_string(i % zoneCount),
                .host = network + std::to_string(i / 250) + '.' + std::to_string(1 + i % 250),
                .store = vm->storeLink->endpoint(),
                .cores = i < relayCount ? 1.0 : 0.2,
                .isFirstStart = true});
        m_vms.push_back(std::move(vm));
    }
    for (std::size_t i = 0; i < vmCount; ++i)
        waitUntilServing(i);
}

std::string ConfigFleet::makeRoutes(unsigned version) const
{
    auto paths = nlohmann::json::array();
    for (unsigned i = version > keptRoutes ? version - keptRoutes : 0; i <= version; ++i) {
        const auto name = 'r' + std::to_string(i);
        paths.push_back({{"name", name},
                         {"prefix", '/' + name + '/'},
                         {"kind", "safe"},
                         {"timeout_ms", 2500},
                         {"target_latency_ms", 200},
                         {"priority", 1},
                         {"max_attempts", 3},
                         {"service", "desk"}});
    }
    return nlohmann::json{
            {"version", version},
            {"services", {{{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 220}}}},
            {"hosts", {{{"host", "a.example"}, {"paths", paths}}}}}
            .dump();
}

void ConfigFleet::changeRoutes()
{
    const auto version = m_versions.empty() ? 1 : m_versions.back().version + 1;
    m_store.put("op", "config", makeRoutes(version));
    const std::lock_guard lock(m_mutex);
    m_versions.push_back({version, SteadyClock().now()});
}

void ConfigFleet::repeatRoutes()
{
    m_store.put("op", "config", makeRoutes(m_versions.back().version));
}

std::optional<RouteVersion> ConfigFleet::versionConfirmedBefore(TimePoint time)
{
    const std::lock_guard lock(m_mutex);
    const auto it = std::find_if(
            m_versions.rbegin(), m_versions.rend(),
            [time](const auto &version) { return version.confirmedAt < time; });
    return it == m_versions.rend() ? std::nullopt : std::optional(*it);
}

void ConfigFleet::probe(std::size_t vm, const RouteVersion &route)
{
    SoakCaller caller(m_vms[vm]->gateway->endpoint());
    const auto record = caller.call("p" + std::to_string(++m_probeNumber),
                                    "/r" + std::to_string(route.version) + "/x", true);
    const std::lock_guard lock(m_mutex);
    m_probes.push_back({vm, route, record.sentAt, SteadyClock().now(), record.status});
}

void ConfigFleet::waitUntilServing(std::size_t vm)
{
    const auto end = SteadyClock().now() + startTimeout;
    for (unsigned n = 0;; ++n) {
        SoakCaller caller(m_vms[vm]->gateway->endpoint());
        const auto route = versionConfirmedBefore(SteadyClock().now()).value();
        const auto path = "/r" + std::to_string(route.version) + "/x";
        if (caller.call("s" + std::to_string(vm) + '-' + std::to_string(n), path, true).status
            == ok)
            return;
        REQUIRE(SteadyClock().now() < end);
        std::this_thread::sleep_for(20ms);
    }
}

std::size_t ConfigFleet::beginDisturbance(std::size_t vm, std::string kind)
{
    const std::lock_guard lock(m_mutex);
    m_vms[vm]->disturbances.push_back({SteadyClock().now(), TimePoint::max(), std::move(kind)});
    return m_vms[vm]->disturbances.size() - 1;
}

void ConfigFleet::endDisturbance(std::size_t vm, std::size_t position)
{
    const std::lock_guard lock(m_mutex);
    m_vms[vm]->disturbances[position].end = SteadyClock().now();
}

bool ConfigFleet::isInTouch(const RouteProbe &probe) const
{
    const auto &disturbances = m_vms[probe.vm]->disturbances;
    return std::none_of(disturbances.begin(), disturbances.end(), [&probe](const auto &it) {
        return it.begin <= probe.endedAt
               && (it.end == TimePoint::max() || it.end >= probe.sentAt - contactTime);
    });
}

std::string ConfigFleet::describe(const RouteProbe &probe) const
{
    const auto at = [this](TimePoint time) {
        return std::to_string(toMilliseconds(time - m_startedAt)) + " ms";
    };
    auto text = m_vms[probe.vm]->gateway->vm() + " refuses route "
                + std::to_string(probe.route.version) + ", confirmed at "
                + at(probe.route.confirmedAt) + ", at " + at(probe.sentAt) + ", "
                + std::to_string(toMilliseconds(probe.sentAt - probe.route.confirmedAt))
                + " ms later";
    const auto &disturbances = m_vms[probe.vm]->disturbances;
    const auto last = std::find_if(disturbances.rbegin(), disturbances.rend(),
                                   [&probe](const auto &it) { return it.begin <= probe.sentAt; });
    if (last != disturbances.rend())
        text += "; " + last->kind + " from " + at(last->begin) + " to " + at(last->end);
    return text;
}

std::vector<std::string> ConfigFleet::violations()
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> lines;
    for (const auto &it : m_probes) {
        if (it.status == notFound && it.sentAt > it.route.confirmedAt + changeBound
            && isInTouch(it))
            lines.push_back(describe(it));
    }
    return lines;
}

std::string ConfigFleet::summary()
{
    const std::lock_guard lock(m_mutex);
    std::map<unsigned, std::size_t> countByStatus;
    for (const auto &it : m_probes)
        ++countByStatus[it.status];
    const auto inTouch = std::count_if(m_probes.begin(), m_probes.end(),
                                       [this](const auto &it) { return isInTouch(it); });
    std::size_t disturbances = 0;
    for (const auto &it : m_vms)
        disturbances += it->disturbances.size();
    std::string text = std::to_string(m_versions.size()) + " versions, "
                       + std::to_string(disturbances) + " disturbances, "
                       + std::to_string(m_probes.size()) + " requests, " + std::to_string(inTouch)
                       + " of them at VMs in touch; by status:";
    for (const auto &[status, n] : countByStatus)
        text += ' ' + std::to_string(status) + ": " + std::to_string(n);
    return text;
}

} // namespace Sapphireladder::Soak
