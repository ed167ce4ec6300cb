#include "Scenarios/Fleet.h"

#include <doctest/doctest.h>

#include <csignal>

using namespace Sapphireladder;
using namespace Sapphireladder::Scenarios;

TEST_SUITE_BEGIN("Scenarios");

struct ThinPathFixture
{
    Fleet fleet;
};

TEST_CASE_FIXTURE(ThinPathFixture, "fleet, with an active preset, answers through every VM")
{
    REQUIRE(fleet.switchTo("ordinary").exitCode == 0);
    for (std::size_t i = 0; i < fleet.vmCount(); ++i) {
        REQUIRE(Fleet::eventually([&] { return fleet.versionOf(i) == 1; }));
        const auto answer = fleet.call(i);
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->body.find("answers GET /codes/1") != std::string::npos);
    }
}

TEST_CASE_FIXTURE(ThinPathFixture, "fleet, with a switch at one VM, applies it on every VM")
{
    REQUIRE(fleet.switchTo("ordinary", 0).exitCode == 0);
    REQUIRE(fleet.switchTo("peak", 1).exitCode == 0);
    for (std::size_t i = 0; i < fleet.vmCount(); ++i)
        CHECK(Fleet::eventually([&] { return fleet.versionOf(i) == 2; }));
}

TEST_CASE_FIXTURE(ThinPathFixture, "VM, on SIGTERM, exits successfully")
{
    REQUIRE(fleet.switchTo("ordinary").exitCode == 0);
    fleet.vm(0).signal(SIGTERM);
    CHECK(fleet.vm(0).wait() == 0);
}

TEST_SUITE_END();
