#include "Soak/ConfigFleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <random>
#include <set>
#include <thread>

using namespace Sapphireladder;
using namespace Sapphireladder::Soak;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ciVmCount = 24;
constexpr unsigned ciSeconds = 45;
/**
 * Seeds that CI runs. A seed that has failed is added here, with a comment on the cause. 2: a lost
 * response to a long poll; 3: ages that add up along the way through a relay.
 */
constexpr unsigned ciSeeds[] = {2, 3};
constexpr std::size_t proberCount = 6;
/** Delay of a store that responds late, for requests and responses each. */
constexpr Duration storeDelay = 300ms;

/** Injects faults into a fleet, in series that overlap, while the operator changes the routes. */
class ConfigSoakRun
{
public:
    ConfigSoakRun(std::size_t vmCount, unsigned seed, Duration duration)
        : m_duration(duration)
        , m_random(seed)
        , m_fleet(vmCount)
    {}

    ConfigSoakRun(const ConfigSoakRun &) = delete;
    ConfigSoakRun &operator=(const ConfigSoakRun &) = delete;
    ~ConfigSoakRun() { stop(); }

    void run()
    {
        m_threads.emplace_back([this, seed = m_random()] { changeRoutes(seed); });
        for (std::size_t i = 0; i < proberCount; ++i)
            m_threads.emplace_back([this, i] { probeVms(i); });
        for (int i = 0; i < 3; ++i)
            m_threads.emplace_back([this, seed = m_random()] { injectFaults(seed); });
        std::this_thread::sleep_for(m_duration);
        stop();
        for (const auto &it : m_fleet.violations())
            FAIL_CHECK(it);
        MESSAGE(m_fleet.summary());
        if (std::getenv("SAPPHIRELADDER_SOAK_LOGS")) {
            for (std::size_t i = 0; i < m_fleet.size(); ++i)
                MESSAGE(m_fleet.gateway(i).vm() << '\n' << m_fleet.gateway(i).log());
        }
    }

private:
    using Random = std::minstd_rand;

    void stop()
    {
        m_isStopped = true;
        for (auto &it : m_threads)
            it.join();
        m_threads.clear();
    }

    static Duration randomTime(Random &random, unsigned minMs, unsigned maxMs)
    {
        return std::chrono::milliseconds(minMs + random() % (maxMs - minMs));
    }

    void changeRoutes(unsigned seed)
    {
        Random random(seed);
        while (!m_isStopped) {
            std::this_thread::sleep_for(randomTime(random, 200, 1800));
            m_fleet.changeRoutes();
        }
    }

    void probeVms(std::size_t first)
    {
        for (std::size_t i = first; !m_isStopped; i += proberCount) {
            if (i >= m_fleet.size())
                i = first;
            const auto due = SteadyClock().now() - ConfigFleet::changeBound;
            if (const auto route = m_fleet.versionConfirmedBefore(due))
                m_fleet.probe(i, *route);
            std::this_thread::sleep_for(20ms);
        }
    }

    void injectFaults(unsigned seed)
    {
        struct Fault
        {
            const char *kind;
            std::function<void(std::size_t, Random &)> inject;
        };
        const Fault faults[] = {
                {"link to the store blocked",
                 [this](auto i, auto &r) { blockStore(i, LinkMode::BlockBoth, r); }},
                {"store refuses", [this](auto i, auto &r) { blockStore(i, LinkMode::Refuse, r); }},
                {"store late", [this](auto i, auto &r) { blockStore(i, LinkMode::Delay, r); }},
                {"connections silent",
                 [this](auto i, auto &) { m_fleet.storeLink(i).silenceAll(); }},
                {"connections reset", [this](auto i, auto &) { m_fleet.storeLink(i).resetAll(); }},
                {"frozen", [this](auto i, auto &r) { freeze(i, randomTime(r, 100, 2500)); }},
                {"slowed", [this](auto i, auto &r) { slowDown(i, r); }},
                {"killed", [this](auto i, auto &) { restart(i, SIGKILL); }},
                {"stopped", [this](auto i, auto &) { restart(i, SIGTERM); }},
        };
        Random random(seed);
        while (!m_isStopped) {
            std::this_thread::sleep_for(randomTime(random, 50, 1500));
            const auto &fault = faults[random() % std::size(faults)];
            // Every other fault hits a relay, and some hit all of them at once.
            const bool hitsRelay = random() % 2 == 0;
            const bool hitsAll = random() % 4 == 0;
            if (hitsRelay && hitsAll) {
                disturbRelays(random);
                continue;
            }
            const auto i = random() % (hitsRelay ? ConfigFleet::relayCount : m_fleet.size());
            if (!claim(i))
                continue;
            const auto position = m_fleet.beginDisturbance(i, fault.kind);
            fault.inject(i, random);
            m_fleet.endDisturbance(i, position);
            release(i);
        }
    }

    /** All relays lose the store at the same time. */
    void disturbRelays(Random &random)
    {
        const LinkMode modes[] = {LinkMode::BlockBoth, LinkMode::Refuse};
        const auto mode = modes[random() % std::size(modes)];
        std::vector<std::pair<std::size_t, std::size_t>> disturbed;
        for (std::size_t i = 0; i < ConfigFleet::relayCount; ++i) {
            if (!claim(i))
                continue;
            disturbed.emplace_back(i, m_fleet.beginDisturbance(i, "all relays lose the store"));
            m_fleet.storeLink(i).setMode(mode);
        }
        std::this_thread::sleep_for(randomTime(random, 500, 5000));
        for (const auto &[i, position] : disturbed) {
            m_fleet.storeLink(i).setMode(LinkMode::Forward);
            m_fleet.endDisturbance(i, position);
            release(i);
        }
    }

    /** @return whether the VM had no disturbance, so that the caller may begin one. */
    bool claim(std::size_t vm)
    {
        const std::lock_guard lock(m_mutex);
        return m_claimed.insert(vm).second;
    }

    void release(std::size_t vm)
    {
        const std::lock_guard lock(m_mutex);
        m_claimed.erase(vm);
    }

    void blockStore(std::size_t vm, LinkMode mode, Random &random)
    {
        m_fleet.storeLink(vm).setDelay(storeDelay);
        m_fleet.storeLink(vm).setMode(mode);
        std::this_thread::sleep_for(randomTime(random, 100, 4000));
        m_fleet.storeLink(vm).setMode(LinkMode::Forward);
    }

    void freeze(std::size_t vm, Duration duration)
    {
        auto &process = m_fleet.gateway(vm).process();
        process.signal(SIGSTOP);
        std::this_thread::sleep_for(duration);
        process.signal(SIGCONT);
    }

    /** Leaves the process a quarter of the time. */
    void slowDown(std::size_t vm, Random &random)
    {
        const auto end = SteadyClock().now() + randomTime(random, 500, 3000);
        while (SteadyClock().now() < end) {
            freeze(vm, 60ms);
            std::this_thread::sleep_for(20ms);
        }
    }

    void restart(std::size_t vm, int signal)
    {
        auto &gateway = m_fleet.gateway(vm);
        gateway.process().signal(signal);
        gateway.process().wait();
        gateway.start();
    }

    const Duration m_duration;
    Random m_random;
    ConfigFleet m_fleet;
    std::atomic<bool> m_isStopped = false;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    /** VMs with a disturbance. */
    std::set<std::size_t> m_claimed;
};

} // namespace

TEST_SUITE_BEGIN("ConfigSoak");

struct ConfigSoakFixture
{
    static unsigned environmentNumber(const char *name, unsigned defaultValue)
    {
        const char *text = std::getenv(name);
        return text ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : defaultValue;
    }
};

// Guards against VMs in touch that act by old routes, because the relays they depend on, or they
// themselves, lost the store or responses of it, were frozen, slowed or restarted.
TEST_CASE_FIXTURE(ConfigSoakFixture,
                  "fleet, with faults of relays and store links, applies new routes in time")
{
    const auto runCount = environmentNumber("SAPPHIRELADDER_SOAK_RUNS", 0);
    const auto first = environmentNumber("SAPPHIRELADDER_SOAK_SEED", 1);
    const auto vmCount = environmentNumber("SAPPHIRELADDER_SOAK_VMS", ciVmCount);
    const std::chrono::seconds duration(
            environmentNumber("SAPPHIRELADDER_SOAK_SECONDS", ciSeconds));
    std::vector<unsigned> seeds(std::begin(ciSeeds), std::end(ciSeeds));
    if (runCount > 0)
        seeds.clear();
    for (unsigned i = 0; i < runCount; ++i)
        seeds.push_back(first + i);
    for (const auto seed : seeds) {
        CAPTURE(seed);
        ConfigSoakRun(vmCount, seed, duration).run();
    }
}

// Guards against VMs that go back to older routes, or ignore new ones for good, because the store
// has returned from an older copy and gives out lower versions again.
TEST_CASE_FIXTURE(ConfigSoakFixture,
                  "fleet, store returns from an older copy, applies new routes in time")
{
    constexpr std::size_t vmCount = 8;
    ConfigFleet fleet(vmCount);
    const auto probeAll = [&fleet](const RouteVersion &route) {
        for (std::size_t i = 0; i < fleet.size(); ++i)
            fleet.probe(i, route);
    };
    const auto presentRoute = [&fleet] {
        return fleet.versionConfirmedBefore(SteadyClock().now()).value();
    };
    fleet.store().takeCopy();
    // So many that the versions of the next changes are lower than those that VMs already know.
    for (int i = 0; i < 6; ++i)
        fleet.changeRoutes();
    std::this_thread::sleep_for(ConfigFleet::changeBound + 500ms);
    probeAll(presentRoute());
    fleet.store().setMode(StoreMode::Unavailable);
    std::this_thread::sleep_for(300ms);
    fleet.store().returnFromCopy();
    fleet.store().setMode(StoreMode::Healthy);
    // Acts by what it has applied until the operator writes it again, and then by what is new.
    for (int i = 0; i < 5; ++i) {
        probeAll(presentRoute());
        std::this_thread::sleep_for(200ms);
    }
    fleet.repeatRoutes();
    std::this_thread::sleep_for(ConfigFleet::contactTime);
    fleet.changeRoutes();
    std::this_thread::sleep_for(ConfigFleet::changeBound + 500ms);
    probeAll(presentRoute());
    for (const auto &it : fleet.violations())
        FAIL_CHECK(it);
}

TEST_SUITE_END();
