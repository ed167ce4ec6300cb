#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

/** Latencies of a route, and a request whose first attempt has just been sent. */
struct HedgePlanFixture
{
    ManualClock clock;
    HedgePlanPolicy policy;
    LatencyWindow latencies;
    RequestInfo info;
    unsigned attempts = 1;
    unsigned maxAttempts = 2;
    Duration objective = 600ms;
    Duration serviceTime = 190ms;
    double cost = 1.0;

    HedgePlanFixture()
    {
        clock.advance(1h);
        info.idempotent = true;
    }

    void record(int n, Duration latency)
    {
        for (int i = 0; i < n; ++i)
            latencies.record(latency, clock.now());
    }

    HedgeContext context() const
    {
        return {info,        attempts, maxAttempts, clock.now(), clock.now() + objective,
                serviceTime, cost};
    }
    std::variant<HedgeStart, HedgeDenial> plan() { return planHedge(policy, context(), latencies); }
    Duration delay() { return std::get<HedgeStart>(plan()).delay; }
    HedgeDenial denial() { return std::get<HedgeDenial>(plan()); }
};

/** Budgets of a service with a hedge ratio of 5 % and a retry ratio of 20 %. */
struct HedgeBudgetFixture
{
    ManualClock clock;
    WindowedRetryBudget retries{{0.2, 10s, 0, 1}, clock};
    HedgeBudgetPolicy policy{.ratio = 0.05};
    HedgeBudget hedges{retries, policy, clock};

    HedgeBudgetFixture() { clock.advance(1h); }

    void record(int n)
    {
        for (int i = 0; i < n; ++i) {
            retries.recordFirstAttempt();
            hedges.recordRequest();
        }
    }
    unsigned takeAll()
    {
        unsigned n = 0;
        for (; !hedges.denial(); ++n)
            hedges.take();
        return n;
    }
};

// Load: 3 in 100 requests take 7 times as long. Guards against a hedge that waits for the
// stragglers' own latency, or that starts beside ordinary attempts.
TEST_CASE_FIXTURE(HedgePlanFixture, "hedge plan, few stragglers, starts beyond ordinary latencies")
{
    record(97, 190ms);
    record(3, 1330ms);
    CHECK(delay() >= 190ms);
    CHECK(delay() < 230ms);
    CHECK(std::get<HedgeStart>(plan()).quantile == policy.quantile);
}

// Load: hosts are slowed for a while, so that 7 in 100 requests take 4 times as long. Guards
// against a hedge that starts too late to meet the latency objective.
TEST_CASE_FIXTURE(HedgePlanFixture, "hedge plan, many slowed targets, still meets the objective")
{
    record(93, 190ms);
    record(7, 760ms);
    CHECK(delay() == objective - serviceTime - policy.searchDuration);
    CHECK(std::get<HedgeStart>(plan()).quantile == doctest::Approx(0.93));
}

// Load: all targets are slow. Guards against hedges of a large part of the requests, which would
// make the overload worse.
TEST_CASE_FIXTURE(HedgePlanFixture, "hedge plan, every fifth request slow, starts no hedge")
{
    record(80, 190ms);
    record(20, 760ms);
    CHECK(denial() == HedgeDenial::ObjectiveNear);
}

// Guards against a hedge that takes a target's expected slowness for a straggler.
TEST_CASE_FIXTURE(HedgePlanFixture, "hedge plan, costly target, waits in proportion")
{
    objective = 2s;
    record(100, 100ms);
    const auto usual = delay();
    cost = 3.0;
    CHECK(delay() == 3 * usual);
}

// Guards against hedges at a start, when the quantiles are those of a few requests.
TEST_CASE_FIXTURE(HedgePlanFixture, "hedge plan, few latencies known, starts no hedge")
{
    record(static_cast<int>(policy.minSampleCount) - 1, 190ms);
    CHECK(denial() == HedgeDenial::TooFewSamples);
    record(1, 190ms);
    CHECK(delay() > 0ms);
}

// Guards against quantiles of a load that is over.
TEST_CASE_FIXTURE(HedgePlanFixture, "latency window, latencies change, forgets the older ones")
{
    record(100, 1s);
    CHECK(latencies.quantile(0.95, clock.now()) >= 1s);
    clock.advance(LatencyWindow::period);
    record(100, 10ms);
    CHECK(latencies.count(clock.now()) == 200);
    clock.advance(LatencyWindow::period);
    record(100, 10ms);
    CHECK(latencies.count(clock.now()) == 200);
    CHECK(latencies.quantile(0.95, clock.now()) < 12ms);
    clock.advance(2 * LatencyWindow::period);
    CHECK(latencies.isEmpty(clock.now()));
}

// Guards against running a non-idempotent request twice, and at more targets than allowed.
TEST_CASE_FIXTURE(HedgePlanFixture, "hedge, request that must not be repeated, is not hedgeable")
{
    CHECK(isHedgeable(context()));
    attempts = 2;
    CHECK_FALSE(isHedgeable(context()));
    attempts = 1;
    info.priorAttempts = 1;
    CHECK_FALSE(isHedgeable(context()));
    info.priorAttempts = 0;
    info.idempotent = false;
    CHECK_FALSE(isHedgeable(context()));
}

// Guards against more additional work than the operators accept.
TEST_CASE_FIXTURE(HedgeBudgetFixture, "hedge budget, many slow requests, keeps the ratio")
{
    record(400);
    const auto limit = static_cast<unsigned>(400 * policy.ratio);
    const auto n = takeAll();
    CHECK(n > limit / 2);
    CHECK(n <= limit);
    CHECK(hedges.denial() == HedgeDenial::RatioReached);
    clock.advance(2 * policy.window);
    record(400);
    CHECK(takeAll() == n);
}

// Load: a service fails widely. Guards against hedges that take the retries' budget.
TEST_CASE_FIXTURE(HedgeBudgetFixture, "hedge budget, retries use half of theirs, stops first")
{
    record(100);
    unsigned n = 0;
    while (retries.hasSpareRetry(policy.retryReserve)) {
        REQUIRE(retries.takeRetry());
        ++n;
    }
    CHECK(n == 9);
    CHECK(hedges.denial() == HedgeDenial::RetryBudgetLow);
    CHECK(retries.takeRetry());
}

// Guards against arrivals that the retry limit of the fleet does not count.
TEST_CASE_FIXTURE(HedgeBudgetFixture, "hedge budget, hedge, is taken from the retries")
{
    record(100);
    const auto before = retries.availableRetries();
    REQUIRE_FALSE(hedges.denial());
    hedges.take();
    CHECK(retries.availableRetries() == doctest::Approx(before - 1));
}

TEST_CASE_FIXTURE(HedgeBudgetFixture, "hedge budget, ratio of zero, allows none")
{
    hedges.setPolicy({});
    record(1000);
    CHECK(hedges.denial() == HedgeDenial::RatioReached);
}

TEST_SUITE_END();
