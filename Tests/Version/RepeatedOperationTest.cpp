#include "Version/Version.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Version");

// Guards against a repeated operation that names another text for its version, because the
// preset's name was given a new text in between.
TEST_CASE("planSwitch, with a repeated operation, gives the digest of the row and no other")
{
    InForce row{4, PresetName("peak"), ContentDigest("old"), OperationId("a"), "", {}};
    row.recent.push_back({OperationId("a"), 4});
    const SwitchRequest request{PresetName("peak"), ContentDigest("new"), OperationId("a"), "", 0};
    auto plan = planSwitch(request, row);
    REQUIRE(plan.done);
    CHECK(plan.result.status == SwitchStatus::Accepted);
    CHECK(plan.result.inForce.digest == ContentDigest("old"));
    row.version = 5;
    plan = planSwitch(request, row);
    CHECK(plan.result.status == SwitchStatus::Accepted);
    CHECK(plan.result.inForce.version == 4);
    CHECK(plan.result.inForce.digest.isEmpty());
}

TEST_SUITE_END();
