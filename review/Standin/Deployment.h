#pragma once

#include "Caller.h"
#include "Config.h"
#include "Gateway.h"
#include "Store.h"
#include "Target.h"

#include <deque>
#include <memory>

namespace Review {

/** Exit codes of a scenario. */
enum class Verdict : int {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

/** A small deployment: the store, targets and VMs. */
struct Deployment
{
    /**
     * @param recordPath where the record is written
     * @param folder temporary folder for settings and logs
     */
    Deployment(const std::string &recordPath, std::string folder)
        : record(recordPath)
        , folder(std::move(folder))
    {}

    /** Starts a target and registers it. */
    Target &addTarget(TargetOptions options);
    /** Starts a VM. */
    Gateway &addVm(const std::string &vm);
    /** @return whether all VMs are ready within 20 s. */
    bool awaitReady();
    /** @return on how many targets a request began to run. */
    unsigned runCount(const std::string &requestId);
    /** Ends all VMs, writes the verdict to the record and ends the process. */
    [[noreturn]] void end(Verdict verdict, const std::string &summary);

    Record record;
    std::string folder;
    Store store{record};
    std::deque<Target> targets;
    std::vector<std::unique_ptr<Gateway>> vms;
};

/** @return whether the scenario includes the disruption; not with TROUBLE=0. */
bool hasTrouble();

} // namespace Review
