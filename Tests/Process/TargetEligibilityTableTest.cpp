#include "Process/Process.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct TargetEligibilityTableFixture
{
    ManualClock clock;
    TargetEligibilityTable table;
    TargetRecord record;

    TargetEligibilityTableFixture()
    {
        clock.advance(1h);
        record.id = TargetId("t");
        record.endpoint = {"10.0.0.1", 80};
        record.incarnation = 7;
    }

    bool isUsable() { return table.find(record, clock.now())->isUsable(clock.now()); }
};

// Guards against a target that is used again because its record lapsed and returned as ready.
TEST_CASE_FIXTURE(TargetEligibilityTableFixture,
                  "eligibility table, record of a leaving target returns, stays excluded")
{
    table.find(record, clock.now())->announceLeaving();
    table.prune(clock.now());
    clock.advance(5min);
    table.prune(clock.now());
    CHECK_FALSE(isUsable());
}

// Guards against a restarted target that never receives requests.
TEST_CASE_FIXTURE(TargetEligibilityTableFixture,
                  "eligibility table, target restarts under its id, is usable")
{
    table.find(record, clock.now())->announceLeaving();
    record.incarnation = 8;
    CHECK(isUsable());
    record.incarnation = 7;
    record.endpoint.port = 81;
    CHECK(isUsable());
}

// Guards against a table that grows with every target that ever existed.
TEST_CASE_FIXTURE(TargetEligibilityTableFixture,
                  "eligibility table, entries without use, are removed")
{
    table.find(record, clock.now());
    table.prune(clock.now());
    CHECK(table.size() == 0);
    const auto used = table.find(record, clock.now());
    table.prune(clock.now());
    CHECK(table.size() == 1);
    record.incarnation = 8;
    table.find(record, clock.now())->announceLeaving();
    clock.advance(TargetEligibilityTable::retention + 1s);
    table.prune(clock.now());
    CHECK(table.size() == 1);
}

TEST_SUITE_END();
