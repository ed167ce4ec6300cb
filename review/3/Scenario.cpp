#include "../Standin/Deployment.h"

#include <atomic>
#include <thread>

using namespace Review;

namespace {

/** How long the store gives one VM no response. All times are in seconds. */
constexpr double silenceLength = 2.0;
constexpr double configApplySeconds = 2.0;
constexpr double contactSeconds = 3.0;
/** Allowance for the scheduling of this process, so that only clear cases count. */
constexpr double tolerance = 0.5;

void sleepSeconds(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

TargetOptions targetOptions(const std::string &id, const std::string &service)
{
    TargetOptions options;
    options.id = id;
    options.service = service;
    options.workTime = [](const HttpMessage &) { return Milliseconds(50); };
    return options;
}

/** Status of one request on the moved and one on the added route. */
struct Probe
{
    std::string vm;
    double sentAt = 0;
    int movedStatus = 0;
    bool ranOnOldService = false;
    int addedStatus = 0;
};

/** Sends requests on the moved and on the added route to one VM until the end. */
void runCaller(Deployment &deployment, const Gateway &vm, const std::atomic<bool> &isOver,
               std::vector<Probe> &probes)
{
    Caller caller(vm.callerPort(), deployment.record);
    for (unsigned n = 0; !isOver; ++n) {
        Probe probe;
        probe.vm = vm.vm();
        probe.sentAt = deployment.record.now();
        const auto movedId = "moved-" + vm.vm() + '-' + std::to_string(n);
        const auto addedId = "added-" + vm.vm() + '-' + std::to_string(n);
        probe.movedStatus = caller.send({"GET", "/moved/" + movedId, movedId, 1500, {}}).status;
        probe.ranOnOldService = deployment.targets[0].runCount(movedId) > 0
                                || deployment.targets[1].runCount(movedId) > 0;
        probe.addedStatus = caller.send({"GET", "/added/" + addedId, addedId, 1500, {}}).status;
        probes.push_back(probe);
        sleepSeconds(0.1);
    }
}

} // namespace

int main(int, char **argv)
{
    Deployment deployment(argv[1], argv[2]);
    auto &record = deployment.record;
    deployment.addTarget(targetOptions("i-old-1", "old"));
    deployment.addTarget(targetOptions("i-old-2", "old"));
    deployment.addTarget(targetOptions("i-new-1", "new"));
    deployment.addTarget(targetOptions("i-new-2", "new"));
    const ConfigRoute movedBefore{"moved", "/moved/", "safe", "old", 1000, 250};
    const ConfigRoute movedAfter{"moved", "/moved/", "safe", "new", 1000, 250};
    const ConfigRoute added{"added", "/added/", "safe", "new", 1000, 250};
    deployment.store.put("op", "config", encodeConfig(1, {"old", "new"}, {movedBefore}));
    for (const char *vm : {"vm-1", "vm-2", "vm-3"})
        deployment.addVm(vm);
    if (!deployment.awaitReady())
        deployment.end(Verdict::NotRun, "the VMs did not become ready");
    sleepSeconds(6);

    std::atomic<bool> isOver = false;
    std::vector<std::vector<Probe>> probes(deployment.vms.size());
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < probes.size(); ++i)
        callers.emplace_back(
                [&, i] { runCaller(deployment, *deployment.vms[i], isOver, probes[i]); });

    // Version 2 only raises a timeout: it makes the VMs call the store anew, and shows which one
    // follows the config.
    auto movedRaised = movedBefore;
    movedRaised.timeoutMs = 1200;
    deployment.store.put("op", "config", encodeConfig(2, {"old", "new"}, {movedRaised}));
    sleepSeconds(2);
    const auto silentVm = deployment.store.lastFollower("op");
    double calmSince = record.now();
    if (hasTrouble())
        deployment.store.setSilent(silentVm, true);
    sleepSeconds(silenceLength / 2);
    deployment.store.put("op", "config", encodeConfig(3, {"old", "new"}, {movedAfter, added}));
    const double confirmedAt = record.now();
    record.add("store confirms version 3 to the operator");
    sleepSeconds(silenceLength / 2);
    if (hasTrouble()) {
        deployment.store.setSilent(silentVm, false);
        calmSince = record.now();
    }
    sleepSeconds(14);
    isOver = true;
    for (auto &it : callers)
        it.join();

    const double boundAt = std::max(confirmedAt + configApplySeconds, calmSince + contactSeconds)
                           + tolerance;
    unsigned late = 0;
    unsigned stale = 0;
    double lastStaleAt = 0;
    for (const auto &list : probes) {
        for (const auto &it : list) {
            if (it.sentAt < boundAt)
                continue;
            ++late;
            if (!it.ranOnOldService && it.addedStatus != 404)
                continue;
            ++stale;
            lastStaleAt = std::max(lastStaleAt, it.sentAt);
            record.add("CONFIG broken: " + it.vm + " at " + std::to_string(it.sentAt)
                       + (it.ranOnOldService ? " used the old service," : "") + " added route "
                       + std::to_string(it.addedStatus));
        }
    }
    deployment.end(stale > 0 ? Verdict::Broken : Verdict::Held,
                   std::to_string(late) + " pairs of requests after the bounds, "
                           + std::to_string(stale) + " handled by an older version, the last "
                           + std::to_string(stale > 0 ? lastStaleAt - confirmedAt : 0)
                           + " s after the confirmation; silent VM: "
                           + (hasTrouble() ? silentVm : "none"));
}
