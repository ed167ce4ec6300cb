#include "Main/AdminClient.h"
#include "Scenarios/Fleet.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Scenarios;

TEST_SUITE_BEGIN("Scenarios");

struct StartFixture
{
    Fleet fleet{{.vmCount = 1, .targetCount = 1}};
};

// Guards against a crash on a status request during startup. It happened when the admin endpoint
// was served before the caller listener existed.
TEST_CASE_FIXTURE(StartFixture, "VM, with a status request during startup, keeps running")
{
    for (int i = 0; i < 30; ++i) {
        fleet.restartVm(0);
        while (fleet.vm(0).isRunning()
               && !callAdmin(fleet.adminEndpoint(0), {"GET", "/status", {}}))
            continue;
        REQUIRE(fleet.vm(0).isRunning());
    }
}

TEST_SUITE_END();
