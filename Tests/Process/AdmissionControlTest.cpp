#include "Process/ServiceFixture.h"

#include <doctest/doctest.h>

#include <thread>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct AdmissionControlFixture : ServiceFixture
{
    void start(unsigned targets, unsigned slots)
    {
        addTargets(targets, slots);
        switchPreset();
    }
};

// Guards against more requests in flight at a target than it has slots.
TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, all slots taken, queues the next request")
{
    start(2, 2);
    for (int i = 0; i < 4; ++i)
        CHECK(arrive().lease());
    for (const auto &it : view->targets)
        CHECK(it.load->ownInFlight() == 2);
    CHECK_FALSE(arrive().pending.decision());
}

TEST_CASE_FIXTURE(
        AdmissionControlFixture,
        "AdmissionControl, both classes queued, admits urgent requests first, in FIFO order")
{
    start(1, 1);
    const auto &holder = arrive();
    const auto &deferrable = arrive(RequestClass::Deferrable);
    const auto &first = arrive();
    const auto &second = arrive();
    finish(holder);
    REQUIRE(first.lease());
    CHECK_FALSE(second.pending.decision());
    finish(first);
    REQUIRE(second.lease());
    CHECK_FALSE(deferrable.pending.decision());
    finish(second);
    CHECK(deferrable.lease());
}

// Guards against starvation of deferrable requests, such as nightly exports, by urgent load.
TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, constant urgent load, grants the deferrable share")
{
    start(1, 1);
    arrive();
    for (int i = 0; i < 20; ++i)
        arrive(RequestClass::Deferrable);
    unsigned granted = 0;
    // The first request found its slot free, so 100 slots are contended after it.
    for (std::size_t i = 0; i < 101; ++i) {
        arrive();
        const auto holder = std::find_if(requests.begin(), requests.end(),
                                         [](const auto &it) { return it->lease() != nullptr; });
        REQUIRE(holder != requests.end());
        granted += (*holder)->info.requestClass == RequestClass::Deferrable;
        finish(**holder);
        requests.erase(holder);
    }
    CHECK(granted == 10);
}

// Guards against requests of one class filling the queue and blocking the other class.
TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, full queue, keeps capacity for both classes")
{
    policy().queue.capacity = 4;
    start(1, 1);
    arrive();
    for (int i = 0; i < 4; ++i)
        CHECK_FALSE(arrive(RequestClass::Deferrable).pending.decision());
    for (int i = 0; i < 3; ++i)
        CHECK_FALSE(arrive().pending.decision());
    CHECK(arrive().isRefused(RefusalReason::QueueFull));
    CHECK(arrive(RequestClass::Deferrable).isRefused(RefusalReason::QueueFull));
    CHECK_FALSE(requests[1]->pending.decision());
    CHECK(requests[2]->isRefused(RefusalReason::QueueFull));
    CHECK(admission.queueSize() == 4);
}

// Guards against sending requests whose callers will have timed out before the response.
TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, response expected after the deadline, refuses")
{
    start(1, 1);
    finish(arrive(), answered(100ms));
    arrive();
    CHECK_FALSE(arrive().pending.decision());
    CHECK(arrive(RequestClass::Urgent, 290ms).isRefused(RefusalReason::DeadlineUnreachable));
    CHECK_FALSE(arrive(RequestClass::Urgent, 310ms).pending.decision());
}

// Guards against an outdated service time estimate that refuses every request forever.
TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, long estimate and nothing in flight, admits one request")
{
    start(2, 1);
    finish(arrive(), answered(1h));
    CHECK(arrive().lease());
    CHECK(arrive().isRefused(RefusalReason::DeadlineUnreachable));
}

TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, deadline passes in the queue, refuses")
{
    start(1, 1);
    const auto &holder = arrive(RequestClass::Urgent, 10s);
    auto &expired = arrive(RequestClass::Urgent, 50ms);
    auto &late = arrive(RequestClass::Urgent, 50ms);
    clock.advance(60ms);
    admission.expire(expired.pending);
    CHECK(expired.isRefused(RefusalReason::QueueTimeout));
    finish(holder);
    CHECK(late.isRefused(RefusalReason::QueueTimeout));
}

// Guards against requests queued until their deadline although all targets are leaving.
TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, all targets leave, refuses queued requests")
{
    start(1, 1);
    arrive();
    const auto &waiting = arrive();
    targetTracker.markLeaving(policy().name, TargetId("t1"), 1);
    CHECK(tick());
    CHECK(waiting.isRefused(RefusalReason::NoUsableTarget));
}

// Guards against new requests to a draining target before the next tick of the control thread.
TEST_CASE_FIXTURE(AdmissionControlFixture,
                  "AdmissionControl, response with draining header, avoids the target at once")
{
    start(2, 4);
    auto mark = answered();
    mark.draining = true;
    const auto &marked = arrive();
    const auto leaving = marked.target();
    finish(marked, mark);
    for (int i = 0; i < 4; ++i) {
        const auto target = arrive().target();
        CHECK(target != "");
        CHECK(target != leaving);
    }
}

// Guards against a rejecting target that looks idle and so receives every request.
TEST_CASE("TargetLoad, rejection without load report, counts as fully loaded")
{
    TargetLoad load;
    load.begin();
    load.end({NotRun{RetryReason::Shed}, std::nullopt, false, 1ms}, 6, TimePoint(1s));
    TargetCandidate candidate;
    load.fillCandidate(candidate, TimePoint(1s));
    CHECK(candidate.reportedInFlight == 6);
    CHECK(candidate.serviceTime == 0ms);
}

struct ServiceGateFixture : ServiceFixture
{
    ServiceGateFixture()
    {
        addTargets(1, 1);
        switchPreset();
        gate.setView(view);
        info.deadline = steady.now() + 60s;
    }
    ~ServiceGateFixture() override
    {
        if (waiter.joinable())
            waiter.join();
    }

    /** Starts a request on another thread and returns once it is queued. */
    void startWaiter()
    {
        waiter = std::thread([this] { result = gate.acquire(info, {}); });
        for (int i = 0; i < 30000 && gate.queueSize() == 0; ++i)
            std::this_thread::sleep_for(1ms);
        REQUIRE(gate.queueSize() == 1);
    }

    SteadyClock steady;
    std::shared_ptr<ObservationQueue> observations = std::make_shared<ObservationQueue>(1);
    ServiceGate gate{ZoneName("a"), steady, 7, observations};
    RequestInfo info;
    AdmissionResult result = RefusalReason::Count;
    std::thread waiter;
};

TEST_CASE_FIXTURE(ServiceGateFixture, "ServiceGate, slot released, wakes the waiting thread")
{
    const auto held = std::get<TargetLease>(gate.acquire(info, {}));
    startWaiter();
    gate.release(held, answered());
    waiter.join();
    CHECK(std::holds_alternative<TargetLease>(result));
}

// Guards against a slot that is never released after a refused idempotency claim.
TEST_CASE_FIXTURE(ServiceGateFixture, "ServiceGate, slot cancelled, wakes the waiting thread")
{
    const auto held = std::get<TargetLease>(gate.acquire(info, {}));
    startWaiter();
    gate.cancel(held);
    waiter.join();
    CHECK(std::holds_alternative<TargetLease>(result));
}

TEST_CASE_FIXTURE(ServiceGateFixture, "ServiceGate, no usable target, wakes the waiting thread")
{
    gate.acquire(info, {});
    startWaiter();
    auto unusable = std::make_shared<ServiceView>(*view);
    unusable->targets[0].availability.leaving = true;
    gate.setView(unusable);
    waiter.join();
    CHECK(std::get<RefusalReason>(result) == RefusalReason::NoUsableTarget);
}

TEST_CASE_FIXTURE(ServiceGateFixture, "ServiceGate, deadline passes, refuses with queue-timeout")
{
    gate.acquire(info, {});
    info.deadline = steady.now() + 20ms;
    CHECK(std::get<RefusalReason>(gate.acquire(info, {})) == RefusalReason::QueueTimeout);
}

// Guards against races that lose a slot or assign it twice.
TEST_CASE_FIXTURE(ServiceGateFixture,
                  "ServiceGate, many threads, assigns the slot to one at a time")
{
    std::atomic<int> holders{0};
    std::atomic<int> failures{0};
    constexpr std::size_t threadCount = 8;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (std::size_t i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (int n = 0; n < 200; ++n) {
                const auto slot = gate.acquire(info, {});
                failures += !std::holds_alternative<TargetLease>(slot) || ++holders != 1;
                --holders;
                gate.release(std::get<TargetLease>(slot), answered(1us));
            }
        });
    }
    for (auto &it : threads)
        it.join();
    CHECK(failures == 0);
}

// Guards against a slow control thread that blocks traffic threads or lets the queue grow without
// bound.
TEST_CASE_FIXTURE(ServiceGateFixture, "ObservationQueue, full, drops and counts")
{
    for (int i = 0; i < 3; ++i)
        gate.release(std::get<TargetLease>(gate.acquire(info, {})), answered());
    CHECK(observations->drain().size() == 1);
    CHECK(observations->dropped() == 2);
}

TEST_SUITE_END();
