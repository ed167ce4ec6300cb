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

    /** Applies accepted switches in a row. */
    static InForce after(int switches)
    {
        InForce row;
        for (int i = 0; i < switches; ++i)
            row = planSwitch(request(("op-" + std::to_string(i)).c_str()), row).next;
        return row;
    }
};

TEST_CASE_FIXTURE(SwitchFixture, "planSwitch, with a new operation, writes the next version")
{
    const auto plan = planSwitch(request("new"), after(3));
    CHECK_FALSE(plan.done);
    CHECK(plan.next.version == 4);
    CHECK(plan.next.recent.back().operation == OperationId("new"));
}

// Guards against a switch that is applied twice because its first answer was lost.
TEST_CASE_FIXTURE(SwitchFixture, "planSwitch, with a repeated operation, gives its first version")
{
    const auto plan = planSwitch(request("op-1"), after(5));
    CHECK(plan.done);
    CHECK(plan.result.status == SwitchStatus::Accepted);
    CHECK(plan.result.inForce.version == 2);
}

TEST_CASE_FIXTURE(SwitchFixture, "planSwitch, with another version expected, conflicts")
{
    const auto plan = planSwitch(request("new", 2), after(3));
    CHECK(plan.done);
    CHECK(plan.result.status == SwitchStatus::Conflict);
    CHECK(plan.result.inForce.operation == OperationId("op-2"));
}

TEST_CASE_FIXTURE(SwitchFixture, "planSwitch, after many switches, remembers a bounded number")
{
    CHECK(after(50).recent.size() == recentOperationLimit);
}

TEST_SUITE_END();
