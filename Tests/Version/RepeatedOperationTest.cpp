#include "Version/Version.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Version");

// Guards against returning the digest of a wrong text for a repeated operation. The preset's text
// may have been replaced under the same name since the operation was accepted.
TEST_CASE("planSwitch, with a repeated operation, returns only the digest stored in the row")
{
    ActivePreset row{4, PresetName("peak"), ContentDigest("old"), OperationId("a"), "", {}};
    row.recentOperations.push_back({OperationId("a"), 4});
    const SwitchRequest request{PresetName("peak"), ContentDigest("new"), OperationId("a"), "", 0};
    auto plan = planSwitch(request, row);
    REQUIRE(plan.isComplete);
    CHECK(plan.result.status == SwitchStatus::Accepted);
    CHECK(plan.result.activePreset.digest == ContentDigest("old"));
    row.version = 5;
    plan = planSwitch(request, row);
    CHECK(plan.result.status == SwitchStatus::Accepted);
    CHECK(plan.result.activePreset.version == 4);
    CHECK(plan.result.activePreset.digest.isEmpty());
}

TEST_SUITE_END();
