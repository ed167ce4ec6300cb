#include "Process/ServiceFixture.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct ControlStateFixture
    : ServiceFixture
    , ControlActions
    , PeerActions
{
    ControlStateFixture()
    {
        addTargets(2, 4);
        const auto read = PresetSnapshot::create(1, ContentDigest("d"), preset).value();
        state.handle(PresetRead{{}, read, nullptr});
        info.deadline = TimePoint(60s);
    }

    void readActivePreset() override {}
    void readPreset(const ActivePreset &) override {}
    void runSwitch(const SwitchCommand &) override {}
    void publish(std::shared_ptr<const FleetSnapshot> next) override { fleet = std::move(next); }
    void publishStatus(std::shared_ptr<const FleetStatus>) override {}
    void setReady(bool, std::string_view) override {}
    void writeHeartbeat(const Member &) override {}
    void removeHeartbeat(const Member &) override {}
    void readMembers(unsigned) override {}
    void readVmList() override {}
    void exchange(const Endpoint &, const Digest &) override {}
    void pushPreset(const Endpoint &, const ActivePreset &) override {}
    void fetchPreset(const Endpoint &, const ActivePreset &) override {}

    void listAsLeaving(const TargetSpec &target)
    {
        state.handle(
                VmListRead{std::vector<VmListEntry>{{target.endpoint, policy().name, 1, true}}});
    }
    /** @return the marks in this VM's reply to a peer. */
    std::vector<TargetMark> announcedMarks()
    {
        std::vector<TargetMark> marks;
        Digest received;
        received.sender.vm = VmId("vm-2");
        state.handle(DigestReceived{received, [&](const Digest &digest) { marks = digest.marks; }});
        return marks;
    }

    ServiceGate &serviceGate() { return fleet->services.at("jomakhata")->gate; }
    TargetLease acquire() { return std::get<TargetLease>(serviceGate().acquire(info, {})); }

    Settings settings;
    Metrics metrics;
    std::shared_ptr<const FleetSnapshot> fleet;
    RequestInfo info;
    ControlState state{settings, clock, RandomSource(7), 1, *this, *this, *this, metrics};
};

// Guards against observations that have no effect, and against publishing a view on each tick.
TEST_CASE_FIXTURE(ControlStateFixture,
                  "ControlState, tick, publishes a view only if a target changed")
{
    const auto marked = acquire();
    state.handle(Tick{});
    CHECK(acquire().owner == marked.owner);
    auto mark = answered();
    mark.draining = true;
    serviceGate().release(marked, mark);
    state.handle(Tick{});
    const auto next = acquire();
    CHECK(next.owner != marked.owner);
    CHECK(next.target->id != marked.target->id);
    CHECK(std::count(events.begin(), events.end(), "target-leaving " + marked.target->id.string())
          == 1);
}

TEST_CASE_FIXTURE(ControlStateFixture,
                  "ControlState, target leaving in the VM list, avoids it at once")
{
    listAsLeaving(policy().targets[0]);
    for (int i = 0; i < 4; ++i)
        CHECK(acquire().target->id == TargetId("t2"));
    listAsLeaving(policy().targets[1]);
    CHECK(std::get<RefusalReason>(serviceGate().acquire(info, {}))
          == RefusalReason::NoUsableTarget);
}

TEST_SUITE_END();
