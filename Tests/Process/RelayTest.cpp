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

    RelayPlan makePlan(int i) const
    {
        RelayPlan plan(member(i));
        plan.setFleet(fleet);
        return plan;
    }

    std::size_t countReaders(std::span<const VmId> failingVms = {}) const
    {
        std::size_t n = 0;
        for (int i = 0; i < static_cast<int>(fleet.size()); ++i) {
            auto plan = makePlan(i);
            for (const auto &it : failingVms)
                plan.recordFailure(it, clock.now());
            n += plan.role(clock.now()).isReader ? 1 : 0;
        }
        return n;
    }

    ManualClock clock;
    std::vector<FleetMember> fleet;
};

// Guards against a fleet in which every VM calls the store for each change.
TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, large fleet, has one reader for each zone")
{
    CHECK(countReaders() == 4);
    for (int i = 0; i < 60; ++i) {
        const auto role = makePlan(i).role(clock.now());
        if (role.isReader)
            continue;
        REQUIRE(role.sources.size() == 1);
        CHECK(role.sources.front().zone == member(i).zone);
    }
}

TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, small fleet, lets every VM read the store")
{
    fleet.resize(RelayPlan::minFleetSize - 1);
    const auto role = makePlan(0).role(clock.now());
    CHECK_FALSE(role.isReader);
    CHECK(role.sources.empty());
}

// Guards against VMs that receive no changes after a reader fails.
TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, reader fails, replaces it and selects two sources")
{
    const auto failedReader = makePlan(0).role(clock.now()).isReader
                                      ? member(0)
                                      : makePlan(0).role(clock.now()).sources.front();
    for (int i = 0; i < 60; ++i) {
        auto plan = makePlan(i);
        plan.recordFailure(failedReader.vm, clock.now());
        const auto role = plan.role(clock.now());
        if (member(i).vm == failedReader.vm || role.isReader)
            continue;
        REQUIRE(role.sources.size() == 2);
        for (const auto &it : role.sources)
            CHECK(it.vm != failedReader.vm);
    }
    const VmId failingVms[] = {failedReader.vm};
    CHECK(countReaders(failingVms) >= 4);
    auto plan = makePlan(1);
    plan.recordFailure(failedReader.vm, clock.now());
    const auto sourcesBefore = makePlan(1).role(clock.now()).sources;
    clock.advance(RelayPlan::failureRetention);
    CHECK(plan.role(clock.now()).sources == sourcesBefore);
}

// Guards against VMs that try source after source during an outage of the store and so make the
// whole fleet call it.
TEST_CASE_FIXTURE(RelayPlanFixture, "relay plan, many VMs fail, selects no further source")
{
    constexpr auto failingVmCount = static_cast<int>(RelayPlan::maxFailingVms);
    for (int i = failingVmCount; i < 60; ++i) {
        auto plan = makePlan(i);
        for (int other = 0; other < failingVmCount; ++other)
            plan.recordFailure(member(other).vm, clock.now());
        CHECK(plan.role(clock.now()).sources.empty());
    }
    auto plan = makePlan(failingVmCount);
    for (int other = 0; other < failingVmCount; ++other)
        plan.recordFailure(member(other).vm, clock.now());
    clock.advance(RelayPlan::failureRetention);
    const auto role = plan.role(clock.now());
    CHECK((role.isReader || !role.sources.empty()));
}

struct RowMirrorFixture
{
    class RecordingTranslator final : public RowTranslator
    {
    public:
        void translateAll(RowTable, std::span<const SourceRow> rows, PlatformFeed &) const override
        {
            translated += "all:";
            for (const auto &it : rows)
                translated += it.key + it.value + ' ';
        }
        void translateChanges(RowTable, std::span<const SourceRow> rows,
                              PlatformFeed &) const override
        {
            for (const auto &it : rows)
                translated += it.key + (it.isDeleted ? "-" : it.value) + ' ';
        }
        mutable std::string translated;
    };

    class NullSnapshotSink final : public SnapshotSink
    {
    public:
        void publish(std::shared_ptr<const GatewaySnapshot>) override {}
    };

    class NullEventSink final : public EventSink
    {
    public:
        using EventSink::record;
        void record(EventId, std::span<const EventField>) override {}
    };

    /** Applies changes. @return what the mirror passed to the translator. */
    std::string apply(std::initializer_list<SourceRow> rows, std::uint64_t position)
    {
        translator.translated.clear();
        mirror.apply(RowTable::Targets, std::vector(rows), position);
        return translator.translated;
    }

    RowMirrorFixture()
    {
        const SourceRow rows[] = {{"a", "1", 5, false}, {"b", "1", 6, false}};
        mirror.replaceAll(RowTable::Targets, rows, 10);
    }

    ManualClock clock;
    NullSnapshotSink sink;
    NullEventSink events;
    GatewayControl control{sink, events, clock};
    RecordingTranslator translator;
    RowMirror mirror{translator, control};
};

// Guards against a source that lags behind and restores an older state.
TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, older row of a lagging source, is ignored")
{
    CHECK(apply({{"a", "2", 12, false}}, 12) == "a2 ");
    CHECK(apply({{"a", "1", 5, false}}, 10).empty());
    CHECK(mirror.position(RowTable::Targets) == 12);
}

// Guards against a deleted target that reappears through stale data of another VM.
TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, row deleted, is not restored by an older version")
{
    CHECK(apply({{"a", {}, 12, true}}, 12) == "a- ");
    CHECK(apply({{"a", "1", 5, false}}, 12).empty());
    CHECK(apply({{"a", "3", 13, false}}, 13) == "a3 ");
}

TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, changes since a position, include deletions")
{
    apply({{"a", {}, 12, true}, {"c", "1", 13, false}}, 13);
    const auto changes = mirror.changesSince(RowTable::Targets, 10);
    REQUIRE(changes);
    REQUIRE(changes->size() == 2);
    CHECK(changes->front().isDeleted);
    CHECK(changes->back().key == "c");
}

// Guards against a peer that misses deletions from before this VM started.
TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, position before the first read, has no history")
{
    CHECK_FALSE(mirror.changesSince(RowTable::Targets, 9));
    CHECK_FALSE(mirror.changesSince(RowTable::Routes, 10));
}

TEST_CASE_FIXTURE(RowMirrorFixture, "row mirror, table read again, deletes missing rows")
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

TEST_CASE_FIXTURE(RelayCodecFixture, "relay codec, changes, are decoded as encoded")
{
    const auto decoded = decodeRelayChanges(encodeRelayChanges(changes));
    REQUIRE(decoded);
    CHECK(decoded.value().tables[0].rows == changes.tables[0].rows);
    CHECK(decoded.value().tables[1].rows == changes.tables[1].rows);
    CHECK(decoded.value().tables[1].position == 9);
}

// Guards against a crash of the process when another writer's row contains invalid UTF-8.
TEST_CASE_FIXTURE(RelayCodecFixture, "relay codec, invalid UTF-8, is replaced")
{
    changes.tables[1].rows.push_back({"b", "\xff\xfe", 9, false});
    CHECK(decodeRelayChanges(encodeRelayChanges(changes)));
}

TEST_CASE_FIXTURE(RelayCodecFixture, "relay codec, invalid messages, are rejected")
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
