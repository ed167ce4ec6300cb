#include "Process/RecordingGateway.h"

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

/** A gateway with targets in two zones. */
struct EvacuationGatewayFixture : RecordingGatewayFixture
{
    EvacuationGatewayFixture()
        : east(addTarget("e", "east"))
        , west(addTarget("w", "west"))
    {}

    unsigned succeeded(unsigned n)
    {
        unsigned count = 0;
        for (unsigned i = 0; i < n; ++i)
            count += call().starts_with("HTTP/1.1 200") ? 1 : 0;
        return count;
    }

    /** Lets requests wait for a free slot for seconds. */
    void fillTargets()
    {
        deadline = 30s;
        content.hosts.front().routes.front().timeout = 30s;
        content.hosts.front().routes.front().latencyObjective = 20s;
        east.setReportedLoad(6);
        west.setReportedLoad(6);
        publish();
    }

    RecordingTarget &east;
    RecordingTarget &west;
};

// Guards against requests and needless probes to an evacuated zone, also the VM's own.
TEST_CASE_FIXTURE(EvacuationGatewayFixture, "gateway, zone evacuated, sends nothing there")
{
    publish();
    REQUIRE(eventually([this] { return succeeded(1) == 1 && east.requestCount() > 0; }));
    evacuatedZones = {ZoneName("east")};
    publish();
    const auto requests = east.requestCount();
    const auto probes = east.probeCount();
    for (int i = 0; i < 10; ++i) {
        // No report is current after the pause, so that the search sends probes.
        std::this_thread::sleep_for(SearchPolicy().currentReportMaxAge * 2);
        CHECK(succeeded(3) == 3);
    }
    CHECK(east.requestCount() == requests);
    CHECK(east.probeCount() == probes);
    CHECK(metrics().find("sapphireladder_evacuated_zones 1") != std::string::npos);

    evacuatedZones.clear();
    publish();
    CHECK(eventually([&] {
        std::this_thread::sleep_for(SearchPolicy().currentReportMaxAge * 2);
        return succeeded(1) == 1 && east.requestCount() > requests;
    }));
}

// Guards against requests that wait for their deadline although no target may serve them.
TEST_CASE_FIXTURE(EvacuationGatewayFixture, "gateway, all zones evacuated, refuses at once")
{
    evacuatedZones = {ZoneName("east"), ZoneName("west")};
    publish();
    const auto begin = clock.now();
    CHECK(call("/read/x").starts_with("HTTP/1.1 503"));
    CHECK(call("/write/x").starts_with("HTTP/1.1 503"));
    CHECK(clock.now() - begin < 1s);
    CHECK(events.text().find("why=no-usable-target") != std::string::npos);
    CHECK(east.probeCount() + west.probeCount() == 0);
}

// Guards against a request that waits for a free slot, and is then sent to an evacuated zone, or
// waits on until its objective has passed.
TEST_CASE_FIXTURE(EvacuationGatewayFixture, "gateway, evacuation while a request waits, refuses it")
{
    fillTargets();
    std::string response;
    std::thread caller([&] { response = call(); });
    CHECK(eventually([this] { return events.text().find("asked=") != std::string::npos; }));
    evacuatedZones = {ZoneName("east"), ZoneName("west")};
    publish();
    const auto begin = clock.now();
    caller.join();
    CHECK(clock.now() - begin < 1s);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(east.requestCount() + west.requestCount() == 0);
}

// Guards against a request that waits while only targets outside of the evacuated zone can get it.
TEST_CASE_FIXTURE(EvacuationGatewayFixture,
                  "gateway, evacuation while a request waits, sends it to another zone")
{
    fillTargets();
    std::string response;
    std::thread caller([&] { response = call(); });
    CHECK(eventually([this] { return events.text().find("asked=") != std::string::npos; }));
    evacuatedZones = {ZoneName("east")};
    publish();
    east.setReportedLoad(0);
    west.setReportedLoad(0);
    caller.join();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(east.requestCount() == 0);
    CHECK(west.requestCount() == 1);
}

TEST_SUITE_END();
