#include "Core/Core.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Core");

struct ParseFixture
{};

TEST_CASE_FIXTURE(ParseFixture, "parseDuration, each unit, is converted")
{
    CHECK(parseDuration("250us").value() == 250us);
    CHECK(parseDuration("1.5ms").value() == 1500us);
    CHECK(parseDuration("2s").value() == 2s);
    CHECK(parseDuration("3min").value() == 3min);
    CHECK(parseDuration("1h").value() == 1h);
}

// Guards against a default unit for durations without one.
TEST_CASE_FIXTURE(ParseFixture, "parseDuration, missing or unknown unit, fails")
{
    for (const auto *it : {"250", "5 s", "5d", "-1s", "s", "", "1e3s", "99999999h"})
        CHECK(parseDuration(it).error().code == CoreError::InvalidDuration);
}

TEST_CASE_FIXTURE(ParseFixture, "Endpoint::parse, anything but IPv4 address and port, fails")
{
    CHECK(Endpoint::parse("127.0.0.1:80").value() == Endpoint{"127.0.0.1", 80});
    for (const auto *it : {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", ":80"})
        CHECK(Endpoint::parse(it).error().code == CoreError::InvalidEndpoint);
}

TEST_SUITE_END();
