#include "Version/Version.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Version");

struct SwitchFixture
{
    static SwitchRequest request(const char *operation, PresetVersion expected = 0)
    {
        return {PresetName("peak"), ContentDigest("d"), OperationId(operation), "author", expected};
    }

    /** @return the row after accepted switches with the operations op-0, op-1 and so on. */
    static ActivePreset rowAfter(int switches)
    {
        ActivePreset row;
        for (int i = 0; i < switches; ++i)
            row = planSwitch(request(("op-" + std::to_string(i)).c_str()), row).nextRow;
        return row;
    }
};

TEST_CASE_FIXTURE(SwitchFixture, "planSwitch, with a new operation, writes the next version")
{
    const auto plan = planSwitch(request("new"), rowAfter(3));
    CHECK_FALSE(plan.isComplete);
    CHECK(plan.nextRow.version == 4);
    CHECK(plan.nextRow.recentOperations.back().operation == OperationId("new"));
}

// Guards against applying a switch twice when the operator retries it after a lost response.
TEST_CASE_FIXTURE(SwitchFixture,
                  "planSwitch, with a repeated operation, returns the version it was accepted as")
{
    const auto plan = planSwitch(request("op-1"), rowAfter(5));
    CHECK(plan.isComplete);
    CHECK(plan.result.status == SwitchStatus::Accepted);
    CHECK(plan.result.activePreset.version == 2);
}

TEST_CASE_FIXTURE(SwitchFixture, "planSwitch, with a different expected version, returns Conflict")
{
    const auto plan = planSwitch(request("new", 2), rowAfter(3));
    CHECK(plan.isComplete);
    CHECK(plan.result.status == SwitchStatus::Conflict);
    CHECK(plan.result.activePreset.operation == OperationId("op-2"));
}

TEST_CASE_FIXTURE(SwitchFixture,
                  "planSwitch, after many switches, keeps a bounded list of operations")
{
    CHECK(rowAfter(50).recentOperations.size() == maxRecentOperations);
}

TEST_SUITE_END();
