#include "Deployment.h"

#include <cstdlib>
#include <iostream>
#include <thread>

namespace Review {

Target &Deployment::addTarget(TargetOptions options)
{
    auto &target = targets.emplace_back(std::move(options), record);
    store.put("servers", target.options().id, target.entry("ready", 1));
    return target;
}

Gateway &Deployment::addVm(const std::string &vm)
{
    return *vms.emplace_back(std::make_unique<Gateway>(vm, folder, store));
}

bool Deployment::awaitReady()
{
    constexpr Milliseconds timeout{20000};
    for (const auto &it : vms) {
        if (!it->awaitReady(timeout))
            return false;
    }
    return true;
}

unsigned Deployment::runCount(const std::string &requestId)
{
    unsigned n = 0;
    for (auto &it : targets)
        n += it.runCount(requestId);
    return n;
}

void Deployment::end(Verdict verdict, const std::string &summary)
{
    vms.clear();
    record.add(summary);
    std::cout << summary << std::endl;
    // The servers' threads never end.
    std::_Exit(static_cast<int>(verdict));
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

} // namespace Review
