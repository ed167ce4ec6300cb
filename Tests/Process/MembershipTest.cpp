#include "Process/Process.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct MembershipFixture
{
    static Member member(int number, std::uint64_t incarnation, std::uint64_t heartbeat)
    {
        return {VmId("vm-" + std::to_string(number)),
                incarnation,
                {"127.0.0.1", static_cast<std::uint16_t>(7000 + number)},
                ZoneName("kolkata-dc"),
                heartbeat,
                false};
    }

    Membership membership{member(0, 5, 0)};
    TimePoint now{};
    RandomSource random{7};
};

// Guards against a stale row or digest bringing back a VM that is gone.
TEST_CASE_FIXTURE(MembershipFixture, "hear, with an old heartbeat of a silent member, ignores it")
{
    CHECK(membership.hear(member(1, 3, 9), now) == MemberNews::Joined);
    now += 15s;
    CHECK(membership.takeLost(now).size() == 1);
    CHECK(membership.hear(member(1, 3, 9), now) == MemberNews::None);
    CHECK(membership.hear(member(1, 2, 50), now) == MemberNews::None);
    CHECK(membership.alive(now).empty());
    CHECK(membership.hear(member(1, 4, 0), now) == MemberNews::Joined);
    CHECK(membership.alive(now).size() == 1);
}

// Guards against a restart with a wall clock set back, whose heartbeats all others would ignore.
TEST_CASE_FIXTURE(MembershipFixture, "hear, of itself with a later incarnation, goes beyond it")
{
    membership.hear(member(0, 9, 4), now);
    CHECK(membership.self().incarnation == 10);
    membership.hear(member(0, 9, 99), now);
    CHECK(membership.self().incarnation == 10);
}

// Guards against digests sent to this VM itself, to silent VMs, or twice to one VM.
TEST_CASE_FIXTURE(MembershipFixture,
                  "choosePeers, with silent and stopping members, leaves them out")
{
    membership.hear(member(1, 1, 1), now);
    now += 15s;
    for (int i = 2; i < 6; ++i)
        membership.hear(member(i, 1, 1), now);
    auto stopping = member(6, 1, 1);
    stopping.stopping = true;
    membership.hear(stopping, now);
    for (int i = 0; i < 200; ++i) {
        const auto peers = membership.choosePeers(2, {}, now, random);
        REQUIRE(peers.size() == 2);
        REQUIRE(peers[0] != peers[1]);
        for (const auto &it : peers)
            REQUIRE((it.port >= 7002 && it.port <= 7005));
    }
}

// Guards against a VM that finds nobody when it starts during a store outage.
TEST_CASE_FIXTURE(MembershipFixture, "choosePeers, without members, takes the seeds but not itself")
{
    const Endpoint seeds[] = {{"127.0.0.1", 7000}, {"127.0.0.1", 7001}};
    const auto peers = membership.choosePeers(2, seeds, now, random);
    REQUIRE(peers.size() == 1);
    CHECK(peers[0].port == 7001);
}

// Guards against marks that never reach a large fleet because heartbeats are always newer.
TEST_CASE_FIXTURE(MembershipFixture, "digest, of a large fleet, keeps its size and the marks")
{
    DigestState state;
    state.noteMark({ServiceName("botolchin"), TargetId("target-1"), 3, true});
    for (int i = 1; i < 400; ++i)
        state.noteMember(member(i, 1, 1));
    const auto digest = state.build(member(0, 5, 1), {});
    CHECK(DigestState::sizeBound(digest) <= DigestState::sizeLimit);
    CHECK(digest.marks.size() == 1);
    REQUIRE(digest.members.size() > 5);
    CHECK(digest.members.front().vm == VmId("vm-399"));
}

// Guards against control traffic that repeats all members forever, and against a new VM that is
// told only the latest news.
TEST_CASE_FIXTURE(MembershipFixture, "digest, with a member told often, names it to new VMs only")
{
    DigestState state;
    state.noteMember(member(1, 1, 1));
    for (unsigned i = 0; i < DigestState::tellLimit; ++i)
        CHECK(state.build(member(0, 5, 1), {}).members.size() == 1);
    CHECK(state.build(member(0, 5, 1), {}).members.empty());
    CHECK(state.build(member(0, 5, 1), {}, DigestExtent::Everything).members.size() == 1);
    state.noteMember(member(1, 1, 2));
    CHECK(state.build(member(0, 5, 1), {}).members.size() == 1);
}

// Guards against a lagging list or a late digest that sends work to a leaving target again (H5).
TEST_CASE("target marks, with a late live report, are undone by a newer incarnation only")
{
    TargetMarks marks;
    const ServiceName service("botolchin");
    const TargetId target("target-1");
    CHECK(marks.hear({service, target, 3, true}));
    CHECK_FALSE(marks.hear({service, target, 3, false}));
    CHECK(marks.find(service, target)->leaving);
    CHECK(marks.hear({service, target, 4, false}));
    CHECK_FALSE(marks.hear({service, target, 3, true}));
    CHECK_FALSE(marks.find(service, target)->leaving);
}

struct ReadinessFixture
{
    TimePoint now{};
    ReadinessRule rule{10s, now};
    ReadinessInputs inputs{true, false, false};
};

// Guards against a VM that nobody can reconfigure staying in the platform's balancer, and against
// one that drops out during a mere store outage.
TEST_CASE_FIXTURE(ReadinessFixture,
                  "readiness, without store and peers for the limit, is withdrawn")
{
    rule.storeHeard(now);
    rule.rowRead();
    CHECK(rule.judge(inputs, now + 9s).ready);
    const auto verdict = rule.judge(inputs, now + 10s);
    CHECK_FALSE(verdict.ready);
    CHECK(verdict.why == "isolated from store and peers");
    rule.peerHeard(now + 10s);
    CHECK(rule.judge(inputs, now + 11s).ready);
}

// Guards against a new VM that serves an old preset during a store outage.
TEST_CASE_FIXTURE(ReadinessFixture,
                  "readiness, of a start behind its peers, waits for their version")
{
    inputs.isBehind = true;
    rule.peerHeard(now);
    CHECK_FALSE(rule.judge(inputs, now).ready);
    inputs.isBehind = false;
    CHECK(rule.judge(inputs, now).ready);
    inputs.isBehind = true;
    CHECK(rule.judge(inputs, now).ready);
}

struct PresetFetchFixture
{
    static ActivePreset inForce(PresetVersion version, const char *digest = "a")
    {
        ActivePreset row;
        row.version = version;
        row.digest = ContentDigest(digest);
        return row;
    }

    PresetFetch fetch;
    TimePoint now{};
    RandomSource random{7};
    const std::vector<Endpoint> peers{{"127.0.0.1", 7001}};
    const Endpoint teller{"127.0.0.1", 7002};
};

// Guards against a version that is heard of once, fails to load, and is never tried again (H7).
TEST_CASE_FIXTURE(PresetFetchFixture,
                  "fetch, with failures and no further mention, tries until applied")
{
    fetch.want(inForce(3), teller);
    auto step = fetch.next(2, peers, now, random);
    REQUIRE(step);
    CHECK_FALSE(step->peer);
    fetch.ended(3, false, now, random);
    step = fetch.next(2, peers, now, random);
    REQUIRE(step);
    CHECK(step->peer == teller);
    fetch.ended(3, false, now, random);
    CHECK_FALSE(fetch.next(2, peers, now, random));
    for (int i = 0; i < 20; ++i) {
        now += 5s;
        step = fetch.next(2, peers, now, random);
        REQUIRE(step);
        CHECK(step->inForce.version == 3);
        fetch.ended(3, false, now, random);
    }
    CHECK_FALSE(fetch.next(3, peers, now + 1min, random));
}

// Guards against an attempt whose end is lost because a queue was full.
TEST_CASE_FIXTURE(PresetFetchFixture, "fetch, with an attempt that never ends, starts another")
{
    fetch.want(inForce(3), teller);
    REQUIRE(fetch.next(2, peers, now, random));
    CHECK_FALSE(fetch.next(2, peers, now + 1s, random));
    CHECK(fetch.next(2, peers, now + PresetFetch::attemptLimit, random));
}

// Guards against a wrong digest from a peer that keeps the VM from the version of the store's row.
TEST_CASE_FIXTURE(PresetFetchFixture, "fetch, with another digest in the row, follows the row")
{
    fetch.want(inForce(3, "wrong"), teller);
    fetch.want(inForce(3, "right"), std::nullopt);
    fetch.want(inForce(3, "wrong"), teller);
    CHECK(fetch.next(2, peers, now, random)->inForce.digest == ContentDigest("right"));
}

TEST_SUITE_END();
