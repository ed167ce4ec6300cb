#include "Connection/Loop/ConnectionLoop.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Connection");

/** A budget of 1000 bytes with two reservations that count their evictions. */
struct BufferBudgetFixture
{
    const TimePoint start = TimePoint() + 1h;
    BufferBudget budget{1000};
    int firstEvictions = 0;
    int secondEvictions = 0;
    BufferReservation first{budget, [this] { ++firstEvictions; }};
    BufferReservation second{budget, [this] { ++secondEvictions; }};
};

TEST_CASE_FIXTURE(BufferBudgetFixture, "buffer budget, both active, evicts the larger one")
{
    CHECK(first.resize(600, start));
    CHECK(second.resize(500, start));
    CHECK(firstEvictions == 1);
    CHECK(budget.usedBytes() == 500);
    CHECK_FALSE(first.resize(700, start));
}

// Guards against ordinary callers that are refused because their body is larger than each of many
// bodies that stopped before their end.
TEST_CASE_FIXTURE(BufferBudgetFixture, "buffer budget, smaller one is stalled, evicts it")
{
    CHECK(first.resize(300, start));
    CHECK(second.resize(800, start + 5s));
    CHECK(firstEvictions == 1);
    CHECK(secondEvictions == 0);
    CHECK(budget.evictionCount() == 1);
}

// Guards against a request that ends in a refusal although a target may be running it.
TEST_CASE_FIXTURE(BufferBudgetFixture, "buffer budget, other is not evictable, denies the new one")
{
    CHECK(first.resize(900, start));
    first.setEvictable(false);
    CHECK_FALSE(second.resize(200, start + 5s));
    CHECK(firstEvictions == 0);
    first.release();
    CHECK(second.resize(200, start + 5s));
}

// Guards against a crash at the end of a process: pending handlers of its event loop hold
// connections longer than the budget lives.
TEST_CASE("buffer budget, ends before its reservation, detaches it")
{
    auto budget = std::make_unique<BufferBudget>(1000);
    BufferReservation reservation(*budget);
    CHECK(reservation.resize(10));
    budget.reset();
    CHECK_FALSE(reservation.resize(20));
}

TEST_CASE("buffer budget, memory of the VM, holds a largest legal body")
{
    CHECK(BufferBudget::maxBytesFor(0) == BufferBudget::defaultMaxBytes);
    CHECK(BufferBudget::maxBytesFor(160 * mebibyte) > 64 * mebibyte + 128 * kibibyte);
    CHECK(BufferBudget::maxBytesFor(160 * mebibyte) < 100 * mebibyte);
    CHECK(BufferBudget::maxBytesFor(16 * mebibyte) == 4 * mebibyte);
}

TEST_SUITE_END();
