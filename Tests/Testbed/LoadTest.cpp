#include "Testbed/FakeServerClient.h"

#include <doctest/doctest.h>

#include <sstream>

using namespace Sapphireladder;
using namespace Sapphireladder::Testbed;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Testbed");

struct LoadFixture
{
    static TargetOptions targetOptions()
    {
        TargetOptions result;
        result.endpoint = {"127.0.0.1", 0};
        result.behaviour.limits = {64, 64};
        result.behaviour.serviceTime = 1ms;
        return result;
    }

    LoadOptions options()
    {
        LoadOptions result;
        result.endpoints = {first.endpoint(), second.endpoint()};
        result.rate = 1000;
        result.count = 200;
        result.threads = 8;
        result.timeout = 20s;
        return result;
    }

    void changeBehaviour(const FakeTarget &target, std::string_view json)
    {
        const auto end = sendTestRequest(target.endpoint(),
                                         {"POST", "/behaviour", {}, std::string(json), 20s});
        REQUIRE(responseStatus(end) == 200);
    }

    FakeTarget first{targetOptions()};
    FakeTarget second{targetOptions()};
};

TEST_CASE_FIXTURE(LoadFixture, "load test, with correct targets, counts no incorrect response")
{
    auto load = options();
    load.postShare = 0.3;
    load.putShare = 0.3;
    const auto report = runLoadTest(load);
    CHECK(report.sent() == 200);
    CHECK(report.answered() == 200);
    CHECK(report.incorrect() == 0);
    CHECK(report.quantile(0.5) >= 1ms);
}

TEST_CASE_FIXTURE(LoadFixture, "load test, with closed-loop callers, sends every request")
{
    auto load = options();
    load.callers = 4;
    CHECK(runLoadTest(load).answered() == 200);
}

TEST_CASE_FIXTURE(LoadFixture, "load test, with mixed outcomes, counts each request once")
{
    changeBehaviour(first, R"({"reject": "marked"})");
    changeBehaviour(second, R"({"answer": "cut", "answer_share": 0.5})");
    const auto report = runLoadTest(options());
    CHECK(report.sent() == 200);
    CHECK(report.answered() + report.refused() + report.unknown() == 200);
    CHECK(report.refused() > 0);
    CHECK(report.unknown() > 0);
    CHECK(report.incorrect() == 0);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "load test, with responses to earlier requests, counts them as incorrect")
{
    changeBehaviour(first, R"({"answer": "earlier"})");
    auto load = options();
    load.endpoints = {first.endpoint()};
    CHECK(runLoadTest(load).incorrect() == 200);
}

TEST_CASE_FIXTURE(LoadFixture, "load test, with duplicates, sends one key to two endpoints")
{
    auto load = options();
    load.postShare = 1;
    load.duplicateShare = 1;
    LoadPlan plan(load, SteadyClock().now());
    const auto request = plan.next({});
    const auto duplicate = plan.next({});
    REQUIRE(request);
    REQUIRE(duplicate);
    CHECK(request->key == duplicate->key);
    CHECK(request->id != duplicate->id);
    CHECK(request->endpointIndex != duplicate->endpointIndex);
}

TEST_CASE_FIXTURE(LoadFixture,
                  "load test, with a slow target, measures latency from the intended start")
{
    changeBehaviour(first, R"({"service_time": "20ms"})");
    auto load = options();
    load.endpoints = {first.endpoint()};
    load.threads = 1;
    load.count = 20;
    // The intended start of the last request is long before the previous 19 have finished.
    CHECK(runLoadTest(load).quantile(1) >= 200ms);
}

TEST_CASE("load test report, with known latencies, returns the exact quantiles")
{
    LoadTestReport report;
    for (int i = 1; i <= 1000; ++i)
        report.addAnswered(200, i * 1us);
    report.addAnswered(503, 1h);
    CHECK(report.quantile(0.5) == 500us);
    CHECK(report.quantile(0.99) == 990us);
    CHECK(report.quantile(0.999) == 999us);
    CHECK(report.answered() == 1001);
}

TEST_CASE("demo, run in one process, prints the complete response")
{
    std::ostringstream out;
    CHECK(runDemo(out));
    CHECK(out.str().find("Sapphireladder-Outcome: answered") != std::string::npos);
}

TEST_SUITE_END();
