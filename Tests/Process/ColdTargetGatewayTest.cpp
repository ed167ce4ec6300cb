#include "Process/RecordingGateway.h"

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

/** A gateway with a cold target and a warm one, whose service limits requests to cold targets. */
struct ColdTargetGatewayFixture : RecordingGatewayFixture
{
    ColdTargetGatewayFixture()
        : cold(addTarget("cold"))
        , warm(addTarget("warm"))
    {
        auto &service = content.services.front();
        service.warmupTime = 3s;
        service.warmupRequestsPerSecond = 4;
        records.front().warmupLeft = 1h;
        cold.setWarmupLeft(1h);
        warm.setWarmupLeft(0s);
    }

    /** Sends requests for a span. @return how many were served. */
    unsigned callFor(Duration duration)
    {
        unsigned served = 0;
        for (const auto begin = clock.now(); clock.now() - begin < duration;) {
            served += call().starts_with("HTTP/1.1 200") ? 1 : 0;
            std::this_thread::sleep_for(1ms);
        }
        return served;
    }

    RecordingTarget &cold;
    RecordingTarget &warm;
};

// Guards against a cold target that gets more than its limit, and against one that gets no request.
TEST_CASE_FIXTURE(ColdTargetGatewayFixture, "gateway, cold target, gets a few requests")
{
    // A bound of two VMs, for a size of one, gives this VM half of the limit.
    const unsigned perWindow = 2;
    publish();
    const auto begin = clock.now();
    CHECK(callFor(3s) > 0);
    const auto windows = static_cast<std::size_t>((clock.now() - begin) / ColdTargetBudget::window);
    CHECK(cold.requestCount() <= perWindow * (windows + 1));
    CHECK(eventually([this] {
        call();
        return cold.requestCount() > 0;
    }));
    CHECK(metrics().find("sapphireladder_cold_target_requests_total 0") == std::string::npos);
}

// Guards against a cold target that gets requests from a VM which is not one of the few that may
// send to it, and against requests that wait for it.
TEST_CASE_FIXTURE(ColdTargetGatewayFixture, "gateway, large fleet, leaves cold targets to others")
{
    fleetSize = 1'000'000;
    records.pop_back();
    publish();
    const auto begin = clock.now();
    CHECK(call().starts_with("HTTP/1.1 503"));
    CHECK(clock.now() - begin < 1s);
    records.push_back(warm.record());
    publish();
    for (int i = 0; i < 20; ++i)
        CHECK(call().starts_with("HTTP/1.1 200"));
    CHECK(cold.requestCount() == 0);
    CHECK(cold.probeCount() == 0);
}

// Guards against a target that turned cold without a new record, and gets all requests on.
TEST_CASE_FIXTURE(ColdTargetGatewayFixture,
                  "gateway, probe reports a cold target, sends it no more")
{
    records.front().warmupLeft = {};
    fleetSize = 1'000'000;
    publish();
    CHECK(call().starts_with("HTTP/1.1 200"));
    for (int i = 0; i < 10; ++i) {
        std::this_thread::sleep_for(SearchPolicy().currentReportMaxAge * 2);
        CHECK(call().starts_with("HTTP/1.1 200"));
    }
    CHECK(cold.requestCount() == 0);
    CHECK(cold.probeCount() == 1);
}

// Guards against a warm target that stays restricted for the time that its record states.
TEST_CASE_FIXTURE(ColdTargetGatewayFixture, "gateway, probe reports a warm target, uses it fully")
{
    cold.setWarmupLeft(0s);
    records.pop_back();
    publish();
    CHECK(eventually([this] { return call().starts_with("HTTP/1.1 200"); }));
    for (int i = 0; i < 20; ++i)
        CHECK(call().starts_with("HTTP/1.1 200"));
    CHECK(cold.requestCount() == 21);
}

// Guards against deployments without a limit whose targets are held back while they start.
TEST_CASE_FIXTURE(ColdTargetGatewayFixture, "gateway, service without limit, uses cold targets")
{
    content.services.front().warmupRequestsPerSecond = 0;
    records.pop_back();
    publish();
    for (int i = 0; i < 20; ++i)
        CHECK(call().starts_with("HTTP/1.1 200"));
    CHECK(cold.requestCount() == 20);
}

TEST_SUITE_END();
