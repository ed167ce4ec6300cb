#include "../Standin/Deployment.h"

#include <thread>

using namespace Review;

namespace {

constexpr unsigned timeoutMs = 2500;
constexpr Milliseconds usualWork{290};
/** A long request. The target responds before the route's timeout. */
constexpr Milliseconds longWork{2300};
constexpr unsigned longRequests = 6;

TargetOptions targetOptions(const std::string &id)
{
    TargetOptions options;
    options.id = id;
    options.service = "ledger";
    options.workTime = [](const HttpMessage &request) {
        return request.target().starts_with("/ledger/long") ? longWork : usualWork;
    };
    return options;
}

} // namespace

int main(int, char **argv)
{
    Deployment deployment(argv[1], argv[2]);
    auto &record = deployment.record;
    deployment.addTarget(targetOptions("i-1"));
    // The requests of other VMs keep this target's slots and queue occupied.
    deployment.addTarget(targetOptions("i-2")).setFull(true);
    const ConfigRoute route{"ledger", "/ledger/", "safe", "ledger", timeoutMs, 800};
    deployment.store.put("op", "config", encodeConfig(1, {"ledger"}, {route}));
    auto &vm = deployment.addVm("vm-1");
    if (!deployment.awaitReady())
        deployment.end(Verdict::NotRun, "the VM did not become ready");

    Caller usualCaller(vm.callerPort(), record);
    for (unsigned n = 0; n < 10; ++n) {
        const auto id = "usual-" + std::to_string(n);
        usualCaller.send({"GET", "/ledger/" + id, id, 5000, {}});
    }
    std::vector<CallerResult> results(longRequests);
    std::vector<std::thread> callers;
    for (unsigned i = 0; i < longRequests; ++i) {
        callers.emplace_back([&, i] {
            const auto id = "long-" + std::to_string(i);
            Caller caller(vm.callerPort(), record);
            // Half of the requests are sent before the stop signal, half after it.
            std::this_thread::sleep_for(Milliseconds(100 * i));
            results[i] = caller.send({"GET", "/ledger/" + id, id, 5000, {}});
        });
    }
    std::this_thread::sleep_for(Milliseconds(250));
    if (hasTrouble()) {
        record.add("SIGTERM to vm-1");
        vm.sendSignal(SIGTERM);
    }
    for (auto &it : callers)
        it.join();

    unsigned lost = 0;
    unsigned served = 0;
    for (unsigned i = 0; i < longRequests; ++i) {
        const auto &it = results[i];
        const bool isBeforeTimeout = it.endedAt - it.sentAt < timeoutMs / 1000.0;
        const bool isOwnFailure = it.status != 200 && !it.isSigned;
        served += it.status == 200 ? 1 : 0;
        if (isOwnFailure && isBeforeTimeout
            && deployment.targets[0].isLeft("long-" + std::to_string(i)))
            ++lost;
    }
    const bool isBroken = hasTrouble() && lost > 0;
    deployment.end(isBroken ? Verdict::Broken : Verdict::Held,
                   std::to_string(longRequests) + " long requests, " + std::to_string(served)
                           + " served, " + std::to_string(lost)
                           + " broken off at a working target before the route's timeout and"
                             " answered by the VM itself");
}
