#pragma once

#include "Process/Process.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>

namespace Sapphireladder::Tests {

/** VMs with allowance clients and collectors on a manual clock, and a network with faults. */
class AllowanceFleet
{
public:
    struct Faults
    {
        double loss = 0;
        double duplication = 0;
        Duration maxDelay = std::chrono::milliseconds(3);
        /** Share of messages that take up to lateDelay. */
        double late = 0;
        Duration lateDelay = std::chrono::seconds(3);
    };

    AllowanceFleet(unsigned vms, const std::vector<Workspace> &workspaces, AllowancePolicy policy,
                   std::uint64_t seed);
    ~AllowanceFleet();

    void run(Duration duration);
    /** Calls a function at a time from now. */
    void after(Duration delay, std::function<void()> function);
    /** Starts a VM, or restarts it without anything that it knew. */
    void start(unsigned vm);
    /** Ends a VM. */
    void kill(unsigned vm);
    void freeze(unsigned vm);
    void wake(unsigned vm);
    /** Messages pass only between VMs with the same group. */
    void setGroup(unsigned vm, unsigned group);
    void setWorkspaces(unsigned vm, std::vector<Workspace> workspaces);
    /** Sets the fleet size that all running VMs are told, and those that start. */
    void setFleetSize(unsigned vms);
    /** A caller's request arrives at a VM. */
    void request(unsigned vm, const Workspace &workspace, bool isGivenBack);

    RandomSource &random() { return m_random; }
    TimePoint now() const { return m_clock.now(); }
    bool isRunning(unsigned vm) const;
    /** @return when requests were passed on, by workspace, in ascending order. */
    const std::map<std::string, std::vector<TimePoint>> &passedOn() const { return m_passedOn; }
    AllowanceCounters counters() const;
    /** @return the largest share of the bound that a window of the workspace used, counting
     * windows that start in a span of time. */
    double worstUse(const Workspace &workspace, const AllowancePolicy &policy, TimePoint begin,
                    TimePoint end) const;

    Faults faults;
    std::uint64_t messages = 0;

private:
    struct Node;

    Endpoint endpointOf(unsigned vm) const;
    void transmit(unsigned from, unsigned to, const std::function<void()> &deliver);
    void planTick(unsigned vm, TimePoint time);
    void schedule(TimePoint time, std::function<void()> function);
    /** Calls a function, or keeps it until the VM wakes. */
    void runOn(unsigned vm, std::function<void()> function);

    struct Event
    {
        TimePoint time{};
        std::uint64_t number = 0;
        std::function<void()> function;
        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.number) < std::tie(time, number);
        }
    };

    ManualClock m_clock;
    RandomSource m_random;
    AllowancePolicy m_policy;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::priority_queue<Event> m_queue;
    std::uint64_t m_eventCount = 0;
    unsigned m_fleetSize;
    std::map<std::string, std::vector<TimePoint>> m_passedOn;
};

} // namespace Sapphireladder::Tests
