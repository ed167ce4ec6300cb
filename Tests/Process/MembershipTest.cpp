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

// Guards against a stale row or digest that revives a lost VM.
TEST_CASE_FIXTURE(MembershipFixture, "Membership, old heartbeat of a lost member, ignores it")
{
    CHECK(membership.merge(member(1, 3, 9), now) == MemberChange::Joined);
    now += 15s;
    CHECK(membership.takeNewlyLost(now).size() == 1);
    CHECK(membership.merge(member(1, 3, 9), now) == MemberChange::None);
    CHECK(membership.merge(member(1, 2, 50), now) == MemberChange::None);
    CHECK(membership.liveMembers(now).empty());
    CHECK(membership.merge(member(1, 4, 0), now) == MemberChange::Joined);
    CHECK(membership.liveMembers(now).size() == 1);
}

// Guards against a restart with the clock set back, after which peers would ignore heartbeats.
TEST_CASE_FIXTURE(MembershipFixture, "Membership, later incarnation of itself, adopts a higher one")
{
    membership.merge(member(0, 9, 4), now);
    CHECK(membership.self().incarnation == 10);
    membership.merge(member(0, 9, 99), now);
    CHECK(membership.self().incarnation == 10);
}

// Guards against digests sent to this VM itself, to lost VMs, or twice to the same VM.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership, lost and stopping members, never chooses them as peers")
{
    membership.merge(member(1, 1, 1), now);
    now += 15s;
    for (int i = 2; i < 6; ++i)
        membership.merge(member(i, 1, 1), now);
    auto stopping = member(6, 1, 1);
    stopping.stopping = true;
    membership.merge(stopping, now);
    for (int i = 0; i < 200; ++i) {
        const auto peers = membership.choosePeers(2, {}, now, random);
        REQUIRE(peers.size() == 2);
        REQUIRE(peers[0] != peers[1]);
        for (const auto &it : peers)
            REQUIRE((it.port >= 7002 && it.port <= 7005));
    }
}

// Guards against a VM that finds no peers when it starts during a store outage.
TEST_CASE_FIXTURE(MembershipFixture,
                  "Membership, no members, chooses the seeds except itself as peers")
{
    const Endpoint seeds[] = {{"127.0.0.1", 7000}, {"127.0.0.1", 7001}};
    const auto peers = membership.choosePeers(2, seeds, now, random);
    REQUIRE(peers.size() == 1);
    CHECK(peers[0].port == 7001);
}

// Guards against marks that are displaced by newer heartbeats in a large fleet.
TEST_CASE_FIXTURE(MembershipFixture,
                  "DigestBuilder, large fleet, keeps the size limit and the marks")
{
    DigestBuilder builder;
    builder.updateMark({ServiceName("botolchin"), TargetId("target-1"), 3, true});
    for (int i = 1; i < 400; ++i)
        builder.updateMember(member(i, 1, 1));
    const auto digest = builder.build(member(0, 5, 1), {});
    CHECK(DigestBuilder::encodedSizeBound(digest) <= DigestBuilder::maxEncodedBytes);
    CHECK(digest.marks.size() == 1);
    REQUIRE(digest.members.size() > 5);
    CHECK(digest.members.front().vm == VmId("vm-399"));
}

// Guards against digests that repeat all members forever, and against a new VM that receives only
// the latest changes.
TEST_CASE_FIXTURE(MembershipFixture,
                  "DigestBuilder, member sent up to the limit, sends it to new VMs only")
{
    DigestBuilder builder;
    builder.updateMember(member(1, 1, 1));
    for (unsigned i = 0; i < DigestBuilder::maxTransmissions; ++i)
        CHECK(builder.build(member(0, 5, 1), {}).members.size() == 1);
    CHECK(builder.build(member(0, 5, 1), {}).members.empty());
    CHECK(builder.build(member(0, 5, 1), {}, DigestScope::AllMembers).members.size() == 1);
    builder.updateMember(member(1, 1, 2));
    CHECK(builder.build(member(0, 5, 1), {}).members.size() == 1);
}

// Guards against a lagging VM list or late digest that makes a leaving target usable again.
TEST_CASE("TargetMarks, late live report, needs a newer incarnation to undo leaving")
{
    TargetMarks marks;
    const ServiceName service("botolchin");
    const TargetId target("target-1");
    CHECK(marks.merge({service, target, 3, true}));
    CHECK_FALSE(marks.merge({service, target, 3, false}));
    CHECK(marks.find(service, target)->leaving);
    CHECK(marks.merge({service, target, 4, false}));
    CHECK_FALSE(marks.merge({service, target, 3, true}));
    CHECK_FALSE(marks.find(service, target)->leaving);
}

struct ReadinessFixture
{
    TimePoint now{};
    ReadinessRule rule{10s, now};
    ReadinessInputs inputs{true, false, false};
};

// Guards against an isolated VM that stays in the platform's load balancer with an outdated
// configuration, and against one that becomes unready during an outage of the store alone.
TEST_CASE_FIXTURE(ReadinessFixture,
                  "ReadinessRule, no contact to store and peers up to the limit, not ready")
{
    rule.recordStoreContact(now);
    rule.recordRowRead();
    CHECK(rule.evaluate(inputs, now + 9s).ready);
    const auto readiness = rule.evaluate(inputs, now + 10s);
    CHECK_FALSE(readiness.ready);
    CHECK(readiness.reason == "isolated from store and peers");
    rule.recordPeerContact(now + 10s);
    CHECK(rule.evaluate(inputs, now + 11s).ready);
}

// Guards against a new VM that serves an old preset during a store outage.
TEST_CASE_FIXTURE(ReadinessFixture,
                  "ReadinessRule, starting VM behind its peers, waits for their version")
{
    inputs.isBehind = true;
    rule.recordPeerContact(now);
    CHECK_FALSE(rule.evaluate(inputs, now).ready);
    inputs.isBehind = false;
    CHECK(rule.evaluate(inputs, now).ready);
    inputs.isBehind = true;
    CHECK(rule.evaluate(inputs, now).ready);
}

struct PresetFetchFixture
{
    static ActivePreset activePreset(PresetVersion version, const char *digest = "a")
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
    const Endpoint reporter{"127.0.0.1", 7002};
};

// Guards against a version that is reported once, fails to load, and is never retried.
TEST_CASE_FIXTURE(PresetFetchFixture,
                  "PresetFetch, failures and no further report, retries until applied")
{
    fetch.setWanted(activePreset(3), reporter);
    auto attempt = fetch.nextAttempt(2, peers, now, random);
    REQUIRE(attempt);
    CHECK_FALSE(attempt->peer);
    fetch.recordResult(3, false, now, random);
    attempt = fetch.nextAttempt(2, peers, now, random);
    REQUIRE(attempt);
    CHECK(attempt->peer == reporter);
    fetch.recordResult(3, false, now, random);
    CHECK_FALSE(fetch.nextAttempt(2, peers, now, random));
    for (int i = 0; i < 20; ++i) {
        now += 5s;
        attempt = fetch.nextAttempt(2, peers, now, random);
        REQUIRE(attempt);
        CHECK(attempt->activePreset.version == 3);
        fetch.recordResult(3, false, now, random);
    }
    CHECK_FALSE(fetch.nextAttempt(3, peers, now + 1min, random));
}

// Guards against an attempt whose result is lost because a queue was full.
TEST_CASE_FIXTURE(PresetFetchFixture,
                  "PresetFetch, attempt without a result, starts another after the timeout")
{
    fetch.setWanted(activePreset(3), reporter);
    REQUIRE(fetch.nextAttempt(2, peers, now, random));
    CHECK_FALSE(fetch.nextAttempt(2, peers, now + 1s, random));
    CHECK(fetch.nextAttempt(2, peers, now + PresetFetch::attemptTimeout, random));
}

// Guards against a wrong digest from a peer that overrides the digest in the store's row.
TEST_CASE_FIXTURE(PresetFetchFixture,
                  "PresetFetch, different digest in the store's row, uses that one")
{
    fetch.setWanted(activePreset(3, "wrong"), reporter);
    fetch.setWanted(activePreset(3, "right"), std::nullopt);
    fetch.setWanted(activePreset(3, "wrong"), reporter);
    CHECK(fetch.nextAttempt(2, peers, now, random)->activePreset.digest == ContentDigest("right"));
}

TEST_SUITE_END();
