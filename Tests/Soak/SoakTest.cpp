#include "Soak/FakeStore.h"
#include "Soak/FakeTarget.h"
#include "Soak/FaultProxy.h"
#include "Soak/SoakCaller.h"
#include "Soak/SoakGateway.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <random>

using namespace Sapphireladder;
using namespace Sapphireladder::Soak;
using namespace std::chrono_literals;

namespace {

constexpr unsigned ok = 200;
constexpr std::size_t gatewayCount = 3;
constexpr std::size_t targetCount = 4;
constexpr std::size_t callerCount = 6;
/** Duration of fault injection. */
constexpr Duration faultDuration = 4s;
/** Time in which the gateways recover after the last fault. */
constexpr Duration recoveryTime = 4s;
/** Maximum time until a change in the store is applied: the gateway setting change_bound. */
constexpr Duration maxChangeDelay = 2s;
/** Time limit of a graceful stop: the gateway setting stop_grace. */
constexpr Duration stopGracePeriod = 6s;
/**
 * Maximum time from the start of a request to the end of its connection without a response if the
 * gateway closed the idle connection before it received the request.
 */
constexpr Duration idleCloseTolerance = 200ms;

/** Seeds that CI runs. A seed that has failed is added here, with a comment on the cause. */
constexpr unsigned ciSeeds[] = {1, 2};

std::string makeRoutes(unsigned version, bool hasNewRoute)
{
    auto paths = nlohmann::json::array();
    const auto add = [&](const char *name, const char *prefix, const char *kind) {
        paths.push_back({{"name", name},
                         {"prefix", prefix},
                         {"kind", kind},
                         {"timeout_ms", 2500},
                         {"target_latency_ms", 200},
                         {"priority", 1},
                         {"max_attempts", 3},
                         {"service", "desk"}});
    };
    add("read", "/read/", "safe");
    add("write", "/write/", "unsafe");
    if (hasNewRoute)
        add("new", "/new/", "safe");
    return nlohmann::json{
            {"version", version},
            {"services", {{{"name", "desk"}, {"health_path", "/health"}, {"max_conns", 220}}}},
            {"hosts", {{{"host", "a.example"}, {"paths", paths}}}}}
            .dump();
}

/** One soak run: injects faults into gateways, targets and store while callers send requests. */
class SoakRun
{
public:
    explicit SoakRun(unsigned seed)
        : m_random(seed)
    {
        m_store.put("op", "config", makeRoutes(++m_routesVersion, false));
        for (std::size_t i = 0; i < targetCount; ++i) {
            m_targets.push_back(std::make_unique<FakeTarget>("i-" + std::to_string(i), m_log));
            m_targetLinks.push_back(std::make_unique<FaultProxy>(m_targets.back()->endpoint()));
            m_store.put("servers", m_targets[i]->id(),
                        m_targets[i]->registration(m_targetLinks[i]->endpoint(), false));
        }
        m_store.put("servers", "i-broken", "{\"service\": 7}");
        for (std::size_t i = 0; i < gatewayCount; ++i)
            m_gateways.push_back(std::make_unique<SoakGateway>(SoakGatewaySettings{
                    .vm = "vm-" + std::to_string(i), .store = m_storeLink.endpoint()}));
        for (std::size_t i = 0; i < gatewayCount; ++i)
            waitUntilServing(i);
    }

    SoakRun(const SoakRun &) = delete;
    SoakRun &operator=(const SoakRun &) = delete;
    ~SoakRun() { stopCallers(); }

    void run()
    {
        for (std::size_t i = 0; i < callerCount; ++i)
            m_callers.emplace_back([this, i] { runCaller(i); });
        injectFaults();
        recover();
        m_recoveredAt = SteadyClock().now();
        restartGateways();
        changeRoutes();
        drainTarget();
        stopCallers();
        check();
    }

private:
    void stopCallers()
    {
        m_isStopped = true;
        for (auto &it : m_callers)
            it.join();
        m_callers.clear();
    }

    std::size_t randomBelow(std::size_t n) { return m_random() % n; }

    void runCaller(std::size_t caller)
    {
        std::vector<SoakCaller> connections;
        for (const auto &it : m_gateways)
            connections.emplace_back(it->endpoint());
        std::minstd_rand random(static_cast<unsigned>(caller + 1));
        for (unsigned n = 0; !m_isStopped; ++n) {
            const bool isIdempotent = random() % 2 == 0;
            const auto id = "c" + std::to_string(caller) + '-' + std::to_string(n);
            auto record = connections[random() % connections.size()].call(
                    id, isIdempotent ? "/read/x" : "/write/x", isIdempotent);
            if (!record.isSent)
                std::this_thread::sleep_for(20ms);
            const std::lock_guard lock(m_mutex);
            m_records.push_back(std::move(record));
        }
    }

    // Faults overlap: those of links and the store last until the next restoreLinks(), those of
    // targets until recover().
    void injectFaults()
    {
        const std::function<void(std::size_t)> faults[] = {
                [this](auto i) { killGateway(i); },
                [this](auto i) { pauseGateway(i); },
                [this](auto i) { m_gateways[i]->process().signal(SIGHUP); },
                [this](auto i) { m_targetLinks[i]->setMode(LinkMode::Delay); },
                [this](auto i) { m_targetLinks[i]->setMode(LinkMode::BlockToServer); },
                [this](auto i) { m_targetLinks[i]->setMode(LinkMode::BlockBoth); },
                [this](auto i) { m_targetLinks[i]->resetAll(); },
                [this](auto) { m_storeLink.setMode(LinkMode::BlockBoth); },
                [this](auto) { m_storeLink.resetAll(); },
                [this](auto) { m_store.setMode(StoreMode::Unavailable); },
                [this](auto) { m_store.setMode(StoreMode::LoseResponses); },
                [this](auto i) { m_targets[i]->setFaultInterval(5); },
                [this](auto) { m_store.put("op", "config", makeRoutes(++m_routesVersion, false)); },
        };
        const auto end = SteadyClock().now() + faultDuration;
        while (SteadyClock().now() < end) {
            faults[randomBelow(std::size(faults))](randomBelow(gatewayCount));
            std::this_thread::sleep_for(std::chrono::milliseconds(50 + randomBelow(250)));
            if (randomBelow(3) == 0)
                restoreLinks();
        }
    }

    void killGateway(std::size_t i)
    {
        m_gateways[i]->process().signal(SIGKILL);
        m_gateways[i]->process().wait();
        m_gateways[i]->start();
    }

    void pauseGateway(std::size_t i)
    {
        m_gateways[i]->process().signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::milliseconds(100 + randomBelow(500)));
        m_gateways[i]->process().signal(SIGCONT);
    }

    void restoreLinks()
    {
        for (const auto &it : m_targetLinks)
            it->setMode(LinkMode::Forward);
        m_storeLink.setMode(LinkMode::Forward);
        m_store.setMode(StoreMode::Healthy);
    }

    void recover()
    {
        restoreLinks();
        for (const auto &it : m_targets)
            it->setFaultInterval(0);
        std::this_thread::sleep_for(recoveryTime);
        for (std::size_t i = 0; i < gatewayCount; ++i)
            waitUntilServing(i);
    }

    bool isServing(std::size_t i, const std::string &path)
    {
        SoakCaller caller(m_gateways[i]->endpoint());
        return caller.call("probe-" + std::to_string(++m_probeCount), path, true).status == ok;
    }

    void waitUntilServing(std::size_t i)
    {
        const auto end = SteadyClock().now() + 10s;
        while (!isServing(i, "/read/x")) {
            REQUIRE(SteadyClock().now() < end);
            std::this_thread::sleep_for(20ms);
        }
    }

    void restartGateways()
    {
        for (std::size_t i = 0; i < gatewayCount; ++i) {
            auto &process = m_gateways[i]->process();
            const auto begin = SteadyClock().now();
            process.signal(SIGTERM);
            CHECK(process.wait() == 0);
            CHECK(SteadyClock().now() - begin <= stopGracePeriod);
            m_gateways[i]->start();
            waitUntilServing(i);
        }
    }

    void changeRoutes()
    {
        m_store.put("op", "config", makeRoutes(++m_routesVersion, true));
        std::this_thread::sleep_for(maxChangeDelay);
        for (std::size_t i = 0; i < gatewayCount; ++i)
            CHECK(isServing(i, "/new/x"));
    }

    void drainTarget()
    {
        m_store.put("servers", m_targets[0]->id(),
                    m_targets[0]->registration(m_targetLinks[0]->endpoint(), true));
        std::this_thread::sleep_for(maxChangeDelay);
        m_targets[0]->setDrained();
        std::this_thread::sleep_for(1s);
    }

    void check()
    {
        std::map<unsigned, std::size_t> countByStatus;
        for (const auto &it : m_records) {
            CAPTURE(it.id);
            CAPTURE(it.status);
            checkResponse(it);
            if (it.sentAt < m_recoveredAt || !it.isSent)
                continue;
            ++countByStatus[it.status];
            checkNotLost(it);
        }
        std::size_t sum = 0;
        std::string statusSummary;
        for (const auto &[status, n] : countByStatus) {
            sum += n;
            statusSummary += std::to_string(status) + ": " + std::to_string(n) + ' ';
        }
        CAPTURE(statusSummary);
        // At least 90 % of the requests succeed during a rolling restart of the gateways, a change
        // of the routes and the drain of a target.
        CHECK(countByStatus[ok] > 0);
        CHECK(countByStatus[ok] * 10 >= sum * 9);
        for (const auto &it : m_log.violations())
            FAIL_CHECK(it);
        if (std::getenv("SAPPHIRELADDER_SOAK_LOGS"))
            for (const auto &it : m_gateways)
                MESSAGE(it->log());
    }

    void checkResponse(const CallRecord &record)
    {
        const auto executionCount = m_log.executionsOf(record.id);
        if (record.status == ok) {
            CHECK(record.isSigned);
            CHECK(record.matchesRequest);
            CHECK(record.body == responseBody(record.id));
        }
        if (record.isIdempotent)
            return;
        CHECK(executionCount <= 1);
        constexpr unsigned notExecutedStatuses[] = {408, 421, 429, 503};
        for (const auto status : notExecutedStatuses)
            CHECK((record.status != status || executionCount == 0));
    }

    void checkNotLost(const CallRecord &record)
    {
        if (record.status != 0)
            return;
        CHECK(m_log.executionsOf(record.id) == 0);
        CHECK(record.endedAt - record.sentAt <= idleCloseTolerance);
    }

    std::minstd_rand m_random;
    ExecutionLog m_log;
    FakeStore m_store;
    FaultProxy m_storeLink{m_store.endpoint()};
    unsigned m_routesVersion = 0;
    unsigned m_probeCount = 0;
    std::vector<std::unique_ptr<FakeTarget>> m_targets;
    std::vector<std::unique_ptr<FaultProxy>> m_targetLinks;
    std::vector<std::unique_ptr<SoakGateway>> m_gateways;
    std::vector<std::thread> m_callers;
    std::mutex m_mutex;
    std::vector<CallRecord> m_records;
    std::atomic<bool> m_isStopped = false;
    TimePoint m_recoveredAt{};
};

} // namespace

TEST_SUITE_BEGIN("Soak");

struct SoakFixture
{
    static unsigned environmentNumber(const char *name, unsigned defaultValue)
    {
        const char *text = std::getenv(name);
        return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : defaultValue;
    }
};

// Guards against lost, corrupt or repeated requests while gateways are killed or paused, links to
// targets and the store fail, targets shed requests or lose responses, and routes change.
TEST_CASE_FIXTURE(
        SoakFixture,
        "gateways, with random external faults, neither lose, corrupt nor repeat requests")
{
    const auto runCount = environmentNumber("SAPPHIRELADDER_SOAK_RUNS", 0);
    const auto first = environmentNumber("SAPPHIRELADDER_SOAK_SEED", 1);
    std::vector<unsigned> seeds(std::begin(ciSeeds), std::end(ciSeeds));
    if (runCount > 0)
        seeds.clear();
    for (unsigned i = 0; i < runCount; ++i)
        seeds.push_back(first + i);
    for (const auto seed : seeds) {
        CAPTURE(seed);
        SoakRun(seed).run();
    }
}

TEST_SUITE_END();
