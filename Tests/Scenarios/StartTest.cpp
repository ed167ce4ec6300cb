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

// Guards against an admin endpoint that answers before the caller listener exists; a status
// request at that moment ended the process, and later admin calls found nobody.
TEST_CASE_FIXTURE(StartFixture, "VM, asked for its status while it starts, stays up")
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
