#include "Scenarios/Fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include <unistd.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Scenarios;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Scenarios");

namespace {

/** Polls the version that each VM applies, from one thread for each VM. */
class VersionMonitor
{
public:
    explicit VersionMonitor(Fleet &fleet)
        : m_fleet(fleet)
        , m_firstSeenAt(fleet.vmCount())
    {
        // A paused VM blocks only the thread that polls it.
        for (std::size_t i = 0; i < fleet.vmCount(); ++i)
            m_threads.emplace_back([this, i] { run(i); });
    }
    ~VersionMonitor() { stop(); }

    void stop()
    {
        m_stopped = true;
        for (auto &it : m_threads) {
            if (it.joinable())
                it.join();
        }
    }
    /** @return whether the applied version of a process ever decreased. */
    bool hasDecreased() const { return m_hasDecreased; }
    /** @return the time from each accepted switch until the VM applied it or a later one. */
    std::vector<Duration> propagationTimes(const std::map<PresetVersion, TimePoint> &acceptedAt,
                                           std::size_t vm) const
    {
        std::vector<Duration> times;
        for (const auto &[version, time] : acceptedAt) {
            const auto it = m_firstSeenAt[vm].lower_bound(version);
            if (it != m_firstSeenAt[vm].end())
                times.push_back(std::max(it->second - time, Duration::zero()));
        }
        return times;
    }

private:
    void run(std::size_t vm)
    {
        std::uint64_t lastIncarnation = 0;
        PresetVersion lastVersion = 0;
        while (!m_stopped) {
            const auto status = nlohmann::json::parse(m_fleet.getAdmin(vm, "/status"), nullptr,
                                                      false);
            if (status.is_object() && status.contains("incarnation")) {
                const auto version = status.at("version").get<PresetVersion>();
                const auto incarnation = status.at("incarnation").get<std::uint64_t>();
                if (incarnation == lastIncarnation && version < lastVersion)
                    m_hasDecreased = true;
                lastIncarnation = incarnation;
                lastVersion = version;
                m_firstSeenAt[vm].try_emplace(version, SteadyClock().now());
            }
            std::this_thread::sleep_for(10ms);
        }
    }

    Fleet &m_fleet;
    /** First time each version was seen, by VM. Written by the VM's thread, read after stop(). */
    std::vector<std::map<PresetVersion, TimePoint>> m_firstSeenAt;
    std::atomic<bool> m_stopped{false};
    std::atomic<bool> m_hasDecreased{false};
    std::vector<std::thread> m_threads;
};

void printTimes(std::string_view label, std::vector<Duration> times)
{
    if (times.empty())
        return;
    std::sort(times.begin(), times.end());
    std::cout << label << ": n=" << times.size()
              << " median=" << toMilliseconds(times[times.size() / 2])
              << "ms p95=" << toMilliseconds(times[times.size() * 95 / 100])
              << "ms max=" << toMilliseconds(times.back()) << "ms\n";
}

/** @return user and system CPU time of a process so far, in seconds. */
double cpuSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    double ticks = 0;
    for (int i = 1; i <= 15 && file >> word; ++i) {
        if (i >= 14)
            ticks += std::stod(word);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

/** @return resident memory of a process in megabytes. */
double residentMegabytes(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

} // namespace

struct ControlFixture
{
    /**
     * Switches repeatedly like an operator. Retries an operation while its outcome is unknown (exit
     * code 6).
     */
    void runOperator(std::size_t vm, const std::string &preset, int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto operation = preset + "-" + std::to_string(i);
            int code = 6;
            for (int attempt = 0; attempt < 20 && code == 6; ++attempt)
                code = switchOnce(vm, preset, operation);
            const std::lock_guard lock(mutex);
            ++exitCodeCounts[code];
        }
    }
    int switchOnce(std::size_t vm, const std::string &preset, const std::string &operation)
    {
        const auto output = fleet.runProduct({"preset", "switch", preset, "--admin",
                                              fleet.adminEndpoint(vm).toString(), "--author",
                                              "test", "--operation", operation});
        if (output.exitCode == 0) {
            const auto now = SteadyClock().now();
            const auto object = nlohmann::json::parse(output.out);
            const std::lock_guard lock(mutex);
            acceptedAt.try_emplace(object.at("in_force").at("version").get<PresetVersion>(), now);
        }
        return output.exitCode;
    }
    bool allVmsApply(PresetVersion version)
    {
        return Fleet::waitUntil(
                [&] {
                    for (std::size_t i = 0; i < fleet.vmCount(); ++i) {
                        if (fleet.appliedVersion(i) != version)
                            return false;
                    }
                    return true;
                },
                60s);
    }

    Fleet fleet{{.vmCount = 5,
                 .targetCount = 2,
                 .extraSettings = "isolation_limit: 2s\n",
                 .seedPeers = true}};
    std::mutex mutex;
    std::map<int, int> exitCodeCounts;
    std::map<PresetVersion, TimePoint> acceptedAt;
};

// Guards against a switch that a VM never applies or that a late message reverts.
TEST_CASE_FIXTURE(ControlFixture,
                  "fleet, with concurrent switches, lost responses and restarts, converges")
{
    REQUIRE(fleet.switchPreset("ordinary", 0).exitCode == 0);
    REQUIRE(fleet.switchPreset("peak", 1).exitCode == 0);
    VersionMonitor monitor(fleet);
    REQUIRE(fleet.setFaults(R"({"lose_answers": 0.2, "delay": "20ms", "only_path": "/tables"})"));
    std::thread first([&] { runOperator(0, "ordinary", 10); });
    std::thread second([&] { runOperator(1, "peak", 10); });
    for (int i = 0; i < 3; ++i) {
        fleet.vm(2).signal(SIGKILL);
        fleet.vm(3).signal(SIGSTOP);
        std::this_thread::sleep_for(500ms);
        fleet.vm(3).signal(SIGCONT);
        fleet.restartVm(2);
        fleet.restartVm(4);
        std::this_thread::sleep_for(500ms);
    }
    first.join();
    second.join();
    // The store returns the old row after a newer one has been written.
    REQUIRE(fleet.setFaults(R"({"lose_answers": 0, "delay": "0ms", "old_row_late": "500ms"})"));
    runOperator(0, "ordinary", 2);
    REQUIRE(fleet.setFaults(R"({"old_row_late": "false", "down": "true", "only_path": ""})"));
    std::this_thread::sleep_for(1s);
    REQUIRE(fleet.setFaults(R"({"down": "false"})"));
    // Accepted, conflict or refused.
    for (const auto &[code, count] : exitCodeCounts)
        CHECK((code == 0 || code == 4 || code == 5));
    const auto row = nlohmann::json::parse(fleet.getAdmin(0, "/preset/in-force"));
    const auto lastVersion = row.at("version").get<PresetVersion>();
    CHECK(lastVersion > 2);
    CHECK(allVmsApply(lastVersion));
    monitor.stop();
    CHECK_FALSE(monitor.hasDecreased());
    for (const auto &[code, count] : exitCodeCounts)
        std::cout << "commands with exit code " << code << ": " << count << '\n';
    // The times include the periods in which VMs 2 to 4 are down or paused.
    for (std::size_t vm = 0; vm < fleet.vmCount(); ++vm)
        printTimes("propagation time to VM " + std::to_string(vm),
                   monitor.propagationTimes(acceptedAt, vm));
}

// Guards against a VM that starts in a store outage and gets no preset or an old one.
TEST_CASE_FIXTURE(ControlFixture,
                  "VM, started in a store outage, applies its peers' version and serves")
{
    REQUIRE(fleet.switchPreset("ordinary").exitCode == 0);
    REQUIRE(fleet.switchPreset("peak").exitCode == 0);
    REQUIRE(allVmsApply(2));
    REQUIRE(fleet.setFaults(R"({"down": "true"})"));
    fleet.restartVm(2);
    CHECK(Fleet::waitUntil([&] { return fleet.getAdmin(2, "/ready") == "ready\n"; }, 60s));
    CHECK(fleet.appliedVersion(2) == 2);
    for (const std::size_t vm : {0, 1, 3, 4})
        fleet.vm(vm).signal(SIGKILL);
    CHECK(Fleet::waitUntil(
            [&] {
                return fleet.getAdmin(2, "/status").find("isolated from store")
                       != std::string::npos;
            },
            60s));
    CHECK(fleet.getAdmin(2, "/ready") != "ready\n");
    const auto response = fleet.call(2);
    REQUIRE(response);
    CHECK(response->status == 200);
}

// Guards against sending requests to a target that the platform lists as leaving.
TEST_CASE_FIXTURE(ControlFixture, "target, listed as leaving, gets no new requests from any VM")
{
    REQUIRE(fleet.switchPreset("ordinary").exitCode == 0);
    REQUIRE(allVmsApply(1));
    const auto setTargetState = [&](const std::string &state, int incarnation) {
        const bool isAccepted = fleet.setVmList(R"([{"service":"botolchin","address":")"
                                                + fleet.targetEndpoint(0).toString()
                                                + R"(","state":")" + state + R"(","incarnation":)"
                                                + std::to_string(incarnation) + "}]");
        REQUIRE(isAccepted);
    };
    const auto allVmsReport = [&](std::uint64_t leaving) {
        return Fleet::waitUntil(
                [&] {
                    for (std::size_t i = 0; i < fleet.vmCount(); ++i) {
                        if (fleet.statusNumber(i, "leaving_targets") != leaving)
                            return false;
                    }
                    return true;
                },
                60s);
    };
    const auto start = SteadyClock().now();
    setTargetState("leaving", 1);
    REQUIRE(allVmsReport(1));
    printTimes("time until all VMs report the leaving target", {SteadyClock().now() - start});
    for (std::size_t i = 0; i < fleet.vmCount(); ++i) {
        for (int n = 0; n < 10; ++n) {
            const auto response = fleet.call(i);
            REQUIRE(response);
            CHECK(response->body.find("target-1 answers") != std::string::npos);
        }
    }
    setTargetState("live", 2);
    CHECK(allVmsReport(0));
}

struct MemberRowsFixture
{
    Fleet fleet{{.vmCount = 3, .targetCount = 1}};
};

// Guards against errors in writing or reading heartbeat rows, which seed peers would mask.
TEST_CASE_FIXTURE(MemberRowsFixture,
                  "VM, without seed peers, discovers all members from heartbeat rows")
{
    for (std::size_t i = 0; i < fleet.vmCount(); ++i)
        CHECK(Fleet::waitUntil([&] { return fleet.memberCount(i) == 2; }, 60s));
}

struct ControlOverheadFixture
{
    Fleet fleet{{.vmCount = 14, .targetCount = 1}};
};

// Guards against control overhead above the agreed 1.4 % of a core, 32 MB and 5 KB/s per VM.
TEST_CASE_FIXTURE(ControlOverheadFixture,
                  "control overhead, of 14 VMs without traffic, stays within its limits")
{
    REQUIRE(fleet.switchPreset("ordinary").exitCode == 0);
    REQUIRE(Fleet::waitUntil(
            [&] {
                for (std::size_t i = 0; i < fleet.vmCount(); ++i) {
                    if (fleet.memberCount(i) != fleet.vmCount() - 1)
                        return false;
                }
                return true;
            },
            60s));
    const auto bytes = [&](std::size_t vm) {
        const auto text = fleet.getAdmin(vm, "/metrics");
        double sum = 0;
        for (const auto *name : {"peer_sent", "peer_received", "store_sent", "store_received"}) {
            const auto line = std::string("\nsapphireladder_") + name + "_bytes_total ";
            const auto position = text.find(line);
            if (position != std::string::npos)
                sum += std::stod(text.substr(position + line.size()));
        }
        return sum;
    };
    std::vector<double> cpuSecondsBefore(fleet.vmCount());
    std::vector<double> bytesBefore(fleet.vmCount());
    const auto start = SteadyClock().now();
    for (std::size_t i = 0; i < fleet.vmCount(); ++i) {
        cpuSecondsBefore[i] = cpuSeconds(fleet.vm(i).pid());
        bytesBefore[i] = bytes(i);
    }
    std::this_thread::sleep_for(20s);
    const auto seconds = toSeconds(SteadyClock().now() - start);
    double maxCpuShare = 0;
    double maxMegabytes = 0;
    double maxBytesPerSecond = 0;
    for (std::size_t i = 0; i < fleet.vmCount(); ++i) {
        maxCpuShare = std::max(maxCpuShare,
                               (cpuSeconds(fleet.vm(i).pid()) - cpuSecondsBefore[i]) / seconds);
        maxMegabytes = std::max(maxMegabytes, residentMegabytes(fleet.vm(i).pid()));
        maxBytesPerSecond = std::max(maxBytesPerSecond, (bytes(i) - bytesBefore[i]) / seconds);
    }
    std::cout << "control overhead, maximum over 14 VMs: " << maxCpuShare * 100 << " % of a core, "
              << maxMegabytes << " MB, " << maxBytesPerSecond << " bytes/s of control messages\n";
    CHECK(maxCpuShare <= 0.014);
    CHECK(maxMegabytes <= 32);
    CHECK(maxBytesPerSecond <= 5000);
}

TEST_SUITE_END();
