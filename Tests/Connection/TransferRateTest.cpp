#include "Connection/Connection.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Connection");

/** A transfer that began at a fixed time. */
struct TransferRateFixture
{
    const TimePoint start = TimePoint() + 1h;
    TransferRate rate{start, {.grace = 10s, .minBytesPerSecond = 1000}};
};

TEST_CASE_FIXTURE(TransferRateFixture, "transfer rate, nothing within the grace, is tolerated")
{
    CHECK_FALSE(rate.isTooSlow(start + 9999ms));
    CHECK(rate.timeUntilCheck(start + 4s) == 6s);
}

// Guards against callers that send or read a byte now and then and hold memory for hours.
TEST_CASE_FIXTURE(TransferRateFixture, "transfer rate, below the minimum after the grace, is slow")
{
    rate.transferred(9999);
    CHECK(rate.isTooSlow(start + 10s));
}

// Guards against a limit that slow callers meet although they keep up the rate.
TEST_CASE_FIXTURE(TransferRateFixture, "transfer rate, at the minimum, is tolerated and checked on")
{
    rate.transferred(10000);
    CHECK_FALSE(rate.isTooSlow(start + 10s));
    CHECK(rate.timeUntilCheck(start + 10s) == 1s);
    CHECK(rate.isTooSlow(start + 11s));
    rate.transferred(1000);
    CHECK_FALSE(rate.isTooSlow(start + 11s));
}

TEST_SUITE_END();
