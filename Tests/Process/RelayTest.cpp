#include "Process/Loop/ProcessLoop.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct RelayPlanFixture
{
    RelayPlanFixture()
    {
        for (int i = 0; i < 60; ++i)
            fleet.push_back(member(i));
    }

    static FleetMember member(int i)
    {
        return {VmId("vm-" + std::to_string(i)),
                ZoneName("z" + std::to_string(i % 4)),
                {"10.0.0.1", static_cast<std::uint16_t>(7000 + i)}};
    }

    RelayPlan planOf(int i) const
    {
        RelayPlan plan(member(i));
        plan.setFleet(fleet);
        return plan;
    }

    std::size_t countReaders(std::span<const VmId> failing = {}) const
    {
        std::size_t n = 0;
        for (int i = 0; i < static_cast<int>(fleet.size()); ++i) {
            auto plan = planOf(i);
            for (const auto &it : failing)
                plan.recordFailure(it, clock.now());
            n += plan.role(clock.now()).isReader ? 1 : 0;
        }
        return n;
    }

    ManualClock clock;
    std::vector<FleetMember> fleet;
};

// Guards against a fleet whose every VM calls the store for each change.
TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, large fleet, has one reader for each zone")
{
    CHECK(countReaders() == 4);
    for (int i = 0; i < 60; ++i) {
        const auto role = planOf(i).role(clock.now());
        if (role.isReader)
            continue;
        REQUIRE(role.sources.size() == 1);
        CHECK(role.sources.front().zone == member(i).zone);
    }
}

TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, small fleet, reads the store on every VM")
{
    fleet.resize(RelayPlan::minFleetSize - 1);
    const auto role = planOf(0).role(clock.now());
    CHECK_FALSE(role.isReader);
    CHECK(role.sources.empty());
}

// Guards against VMs that hear nothing after a reader was lost.
TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, reader fails, is replaced and two VMs are asked")
{
    const auto lost = planOf(0).role(clock.now()).isReader
                              ? member(0)
                              : planOf(0).role(clock.now()).sources.front();
    for (int i = 0; i < 60; ++i) {
        auto plan = planOf(i);
        plan.recordFailure(lost.vm, clock.now());
        const auto role = plan.role(clock.now());
        if (member(i).vm == lost.vm || role.isReader)
            continue;
        REQUIRE(role.sources.size() == 2);
        for (const auto &it : role.sources)
            CHECK(it.vm != lost.vm);
    }
    const VmId failing[] = {lost.vm};
    CHECK(countReaders(failing) >= 4);
    auto plan = planOf(1);
    plan.recordFailure(lost.vm, clock.now());
    const auto before = planOf(1).role(clock.now()).sources;
    clock.advance(RelayPlan::failureRetention);
    CHECK(plan.role(clock.now()).sources == before);
}

// Guards against VMs that make the whole fleet call a store that is down.
TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, many VMs fail, asks no further one")
{
    constexpr auto failing = static_cast<int>(RelayPlan::maxFailingVms);
    for (int i = failing; i < 60; ++i) {
        auto plan = planOf(i);
        for (int k = 0; k < failing; ++k)
            plan.recordFailure(member(k).vm, clock.now());
        CHECK(plan.role(clock.now()).sources.empty());
    }
    auto plan = planOf(failing);
    for (int k = 0; k < failing; ++k)
        plan.recordFailure(member(k).vm, clock.now());
    clock.advance(RelayPlan::failureRetention);
    const auto role = plan.role(clock.now());
    CHECK((role.isReader || !role.sources.empty()));
}

struct RowMirrorFixture
{
    class Translator final : public RowTranslator
    {
    public:
        void translateAll(RowTable, std::span<const SourceRow> rows, PlatformFeed &) const override
        {
            told += "all:";
            for (const auto &it : rows)
                told += it.key + it.value + ' ';
        }
        void translateChanges(RowTable, std::span<const SourceRow> rows,
                              PlatformFeed &) const override
        {
            for (const auto &it : rows)
                told += it.key + (it.isDeleted ? "-" : it.value) + ' ';
        }
        mutable std::string told;
    };

    class Sink final : public SnapshotSink
    {
    public:
        void publish(std::shared_ptr<const GatewaySnapshot>) override {}
    };

    class Events final : public EventSink
    {
    public:
        using EventSink::record;
        void record(EventId, std::span<const EventField>) override {}
    };

    std::string apply(std::initializer_list<SourceRow> rows, std::uint64_t position)
    {
        translator.told.clear();
        mirror.apply(RowTable::Targets, std::vector(rows), position);
        return translator.told;
    }

    RowMirrorFixture()
    {
        const SourceRow rows[] = {{"a", "1", 5, false}, {"b", "1", 6, false}};
        mirror.replaceAll(RowTable::Targets, rows, 10);
    }

    ManualClock clock;
    Sink sink;
    Events events;
    GatewayControl control{sink, events, clock};
    Translator translator;
    RowMirror mirror{translator, control};
};

// Guards against a VM that lags behind and brings an older state back.
TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, older row of a slower source, is ignored")
{
    CHECK(apply({{"a", "2", 12, false}}, 12) == "a2 ");
    CHECK(apply({{"a", "1", 5, false}}, 10).empty());
    CHECK(mirror.position(RowTable::Targets) == 12);
}

// Guards against a target that left and comes back by an old word of another VM.
TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, row deleted, does not come back by an older one")
{
    CHECK(apply({{"a", {}, 12, true}}, 12) == "a- ");
    CHECK(apply({{"a", "1", 5, false}}, 12).empty());
    CHECK(apply({{"a", "3", 13, false}}, 13) == "a3 ");
}

TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, changes since a position, hold deletions")
{
    apply({{"a", {}, 12, true}, {"c", "1", 13, false}}, 13);
    const auto changes = mirror.changesSince(RowTable::Targets, 10);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->front().isDeleted);
    CHECK(changes->back().key == "c");
}

// Guards against a peer that misses what was deleted before this VM started.
TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, position before the first read, is not known")
{
    CHECK_FALSE(mirror.changesSince(RowTable::Targets, 9));
    CHECK_FALSE(mirror.changesSince(RowTable::Routes, 10));
}

TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, whole read again, deletes what is gone")
{
    const SourceRow rows[] = {{"b", "1", 6, false}};
    mirror.replaceAll(RowTable::Targets, rows, 20);
    const auto changes = mirror.changesSince(RowTable::Targets, 10);
    REQUIRE(changes);
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().key == "a");
    CHECK(changes->front().isDeleted);
}

struct RelayCodecFixture
{
    RelayChanges changes;
    RelayCodecFixture()
    {
        changes.tables[0] = {7, {{"config", "{}", 7, false}}, true};
        changes.tables[1] = {9, {{"a", {}, 9, true}}, false};
    }
};

TEST_CASE_FIXTURE(RelayCodecFixture, "relay codec, changes, come back as they were")
{
    const auto decoded = decodeRelayChanges(encodeRelayChanges(changes));
    REQUIRE(decoded);
    CHECK(decoded.value().tables[0].rows == changes.tables[0].rows);
    CHECK(decoded.value().tables[1].rows == changes.tables[1].rows);
    CHECK(decoded.value().tables[1].position == 9);
}

// Guards against a process that ends because another writer's row holds bytes that are no text.
TEST_CASE_FIXTURE(RelayCodecFixture, "relay codec, bytes that are no text, are replaced")
{
    changes.tables[1].rows.push_back({"b", "\xff\xfe", 9, false});
    CHECK(decodeRelayChanges(encodeRelayChanges(changes)));
}

TEST_CASE_FIXTURE(RelayCodecFixture, "relay codec, invalid messages, are refused")
{
    for (const auto *it : {"", "[]", "{}", R"({"routes":{"position":-1,"rows":[]}})",
                           R"({"routes":{"position":1,"rows":[{}]},"targets":{}})"}) {
        CAPTURE(it);
        CHECK_FALSE(decodeRelayChanges(it));
    }
    for (const bool isImmediate : {false, true}) {
        const RelayQuery query{{3, 4}, isImmediate};
        CHECK(decodeRelayTarget(encodeRelayTarget(query)) == query);
    }
    for (const auto *it :
         {"/", "/relay/changes", "/relay/changes?routes=1", "/relay/changes?routes=1&targets=x",
          "/relay/changes?routes=1&targets=2&z=3"})
        CHECK_FALSE(decodeRelayTarget(it));
}

TEST_SUITE_END();
