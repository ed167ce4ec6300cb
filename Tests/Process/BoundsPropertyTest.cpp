#include "Process/Process.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

// Guards against retry storms that turn an outage into an overload.
TEST_CASE("RetryBudget, any order of attempts and retries, stays within ratio plus burst")
{
    CHECK(rc::check([](const std::vector<bool> &wantsRetry) {
        RetryPolicy policy;
        policy.budgetRatio = *rc::gen::inRange(0, 101) / 100.0;
        policy.burst = *rc::gen::inRange(0U, 20U);
        RetryBudget budget(policy);
        double attempts = 0;
        double retries = 0;
        for (const bool it : wantsRetry) {
            if (it)
                retries += budget.takeRetry();
            else
                budget.recordFirstAttempt();
            attempts += !it;
            RC_ASSERT(retries <= policy.budgetRatio * attempts + policy.burst + 1e-6);
        }
    }));
}

// Guards against ejecting so many targets that the remaining ones become overloaded.
TEST_CASE("EjectionRule, any observations and set of targets, keeps the minimum share")
{
    CHECK(rc::check([] {
        EjectionPolicy policy;
        policy.minRetainedShare = *rc::gen::inRange(0, 101) / 100.0;
        policy.consecutiveFailures = *rc::gen::inRange(1U, 4U);
        const EjectionRule rule(policy);
        std::vector<EjectionState> states(*rc::gen::inRange<std::size_t>(1, 16));
        TimePoint now{};
        for (int i = 0; i < 200; ++i) {
            auto &state = states[*rc::gen::inRange<std::size_t>(0, states.size())];
            const bool isGood = *rc::gen::inRange(0, 4) == 0;
            rule.observe(state, isGood ? ObservedOutcome::Good : ObservedOutcome::Fault, now);
            now += *rc::gen::inRange(0, 500) * 1ms;
            // Some targets leave and return, so the evaluated set varies.
            const auto size = *rc::gen::inRange<std::size_t>(1, states.size() + 1);
            std::vector<EjectionState *> evaluated;
            for (std::size_t n = 0; n < size; ++n)
                evaluated.push_back(&states[n]);
            rule.evaluate(evaluated, now);
            const auto usable = std::count_if(evaluated.begin(), evaluated.end(),
                                              [](const auto *it) { return !it->ejected; });
            RC_ASSERT(usable >= policy.minRetainedShare * static_cast<double>(size) - 1e-6);
        }
    }));
}

/** One service in a chain of calls: each attempt calls the next service, and the last one fails. */
struct ChainHop
    : TargetSlotAllocator
    , AttemptTransport
    , RequestObserver
{
    ChainHop(const ServicePolicy &servicePolicy, const Clock &time, ChainHop *nextHop)
        : policy(servicePolicy)
        , clock(time)
        , next(nextHop)
        , budget(servicePolicy.retry)
    {}

    RequestOutcome call(const RequestInfo &info)
    {
        RequestExecutor executor({*this, *this, budget, *this, clock}, policy);
        return executor.run(info, {}, "");
    }

    std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &,
                                                     std::span<const TargetId>) override
    {
        return TargetLease{&target, 0, nullptr};
    }
    void release(const TargetLease &, const AttemptResult &) override {}
    void cancel(const TargetLease &) override {}
    AttemptResult attempt(const AttemptRequest &request) override
    {
        ++attempts;
        auto info = request.info;
        info.priorAttempts += request.attemptIndex;
        ++info.depth;
        if (next)
            next->call(info);
        return {NotRun{RetryReason::Shed}, std::nullopt, false, {}};
    }
    void retried(RetryReason) override {}
    void retryDenied(RetryDenial) override {}
    void hedged() override {}
    void hedgeWon() override {}
    void hedgeDenied(HedgeDenial) override {}

    const ServicePolicy &policy;
    const Clock &clock;
    ChainHop *next;
    RetryBudget budget;
    TargetSpec target;
    unsigned attempts = 0;
};

/**
 * Guards against retry amplification along a chain of d services. At the last service, one call
 * causes at most 1 + d * (maxAttempts - 1) attempts, because only the first attempt of a hop may be
 * retried by the hops below. The budgets bound the total: each hop multiplies it by at most
 * 1 + ratio and adds at most one burst.
 */
TEST_CASE("RequestExecutor, chain of depth 5 with failures, keeps attempts within the bounds")
{
    CHECK(rc::check([] {
        constexpr unsigned depth = 5;
        ServicePolicy policy;
        policy.retry.maxAttempts = *rc::gen::inRange(1U, 6U);
        policy.retry.burst = *rc::gen::inRange(0U, 30U);
        const ManualClock clock;
        std::vector<std::unique_ptr<ChainHop>> hops;
        for (unsigned i = 0; i < depth; ++i) {
            auto *next = hops.empty() ? nullptr : hops.back().get();
            hops.push_back(std::make_unique<ChainHop>(policy, clock, next));
        }
        RequestInfo info;
        info.deadline = TimePoint(1s);
        const auto calls = *rc::gen::inRange(1U, 300U);
        for (unsigned i = 0; i < calls; ++i) {
            const auto before = hops.front()->attempts;
            hops.back()->call(info);
            RC_ASSERT(hops.front()->attempts - before
                      <= 1 + depth * (policy.retry.maxAttempts - 1));
        }
        double bound = calls;
        for (unsigned i = 0; i < depth; ++i)
            bound = bound * (1 + policy.retry.budgetRatio) + policy.retry.burst;
        RC_ASSERT(hops.front()->attempts <= bound + 1e-6);
    }));
}

TEST_SUITE_END();
