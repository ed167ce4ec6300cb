#include "Testbed/StandinFixture.h"

#include <doctest/doctest.h>

#include <future>

using namespace Sapphireladder;
using namespace Sapphireladder::Testbed;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Testbed");

struct PlatformFixture
{
    static constexpr const char *rowPath = "/tables/control/in-force";

    ExchangeEnd call(const std::string &method, const std::string &path,
                     const std::string &body = {}, const std::vector<HeaderField> &headers = {},
                     Duration timeout = 20s)
    {
        return callStandin(platform.endpoint(), {method, path, headers, body, timeout});
    }

    void setFaults(const std::string &json)
    {
        REQUIRE(statusOf(call("POST", "/faults", json)) == 200);
    }

    FakePlatform platform{Endpoint{"127.0.0.1", 0}};
};

TEST_CASE_FIXTURE(PlatformFixture, "table row, with a stale tag, is not overwritten")
{
    const auto first = call("PUT", rowPath, "a", {{"If-None-Match", "*"}});
    REQUIRE(statusOf(first) == 200);
    CHECK(statusOf(call("PUT", rowPath, "b", {{"If-None-Match", "*"}})) == 412);
    const auto tag = wholeOf(first).head.get("ETag");
    CHECK(statusOf(call("PUT", rowPath, "b", {{"If-Match", tag}})) == 200);
    CHECK(statusOf(call("PUT", rowPath, "c", {{"If-Match", tag}})) == 412);
    CHECK(wholeOf(call("GET", rowPath)).body == "b");
}

TEST_CASE_FIXTURE(PlatformFixture, "platform, with an outage, keeps its rows")
{
    REQUIRE(statusOf(call("PUT", rowPath, "a")) == 200);
    setFaults(R"({"down": true})");
    CHECK(std::holds_alternative<Unknown>(call("GET", rowPath)));
    CHECK(std::holds_alternative<Unknown>(call("PUT", rowPath, "b")));
    setFaults(R"({"down": "refuse"})");
    CHECK(statusOf(call("PUT", rowPath, "b")) == 503);
    setFaults(R"({"down": false})");
    CHECK(wholeOf(call("GET", rowPath)).body == "a");
}

TEST_CASE_FIXTURE(PlatformFixture, "write, with a lost response, takes effect")
{
    setFaults(R"({"lose_answers": 1})");
    CHECK(std::holds_alternative<Unknown>(call("PUT", rowPath, "a")));
    CHECK(wholeOf(call("GET", rowPath)).body == "a");
}

TEST_CASE_FIXTURE(PlatformFixture, "read, delayed until a newer write, returns the old row")
{
    REQUIRE(statusOf(call("PUT", rowPath, "old")) == 200);
    setFaults(R"({"old_row_late": true})");
    auto late = std::async([&] { return call("GET", rowPath); });
    while (wholeOf(call("GET", "/counters")).body != R"({"reads":1,"writes":1})")
        std::this_thread::sleep_for(1ms);
    REQUIRE(statusOf(call("PUT", rowPath, "new")) == 200);
    // The read is counted before it accesses the row, so it may already return the newer row; then
    // it waits for a further write.
    for (int i = 0; late.wait_for(10ms) != std::future_status::ready; ++i)
        REQUIRE(statusOf(call("PUT", rowPath, std::to_string(i))) == 200);
    const auto end = late.get();
    setFaults(R"({"old_row_late": false})");
    CHECK(wholeOf(end).body != wholeOf(call("GET", rowPath)).body);
}

TEST_CASE_FIXTURE(PlatformFixture, "write, delayed past its deadline, takes effect later")
{
    setFaults(R"({"delayed_writes": "100ms"})");
    CHECK(std::holds_alternative<Unknown>(call("PUT", rowPath, "a", {}, 20ms)));
    while (statusOf(call("GET", rowPath)) != 200)
        std::this_thread::sleep_for(1ms);
    CHECK(wholeOf(call("GET", rowPath)).body == "a");
}

TEST_CASE_FIXTURE(PlatformFixture, "VM list, with a lag, returns an older list")
{
    REQUIRE(statusOf(call("PUT", "/vms", "[1]")) == 200);
    CHECK(wholeOf(call("GET", "/vms")).body == "[1]");
    setFaults(R"({"vm_list_lag": "1h"})");
    REQUIRE(statusOf(call("PUT", "/vms", "[2]")) == 200);
    CHECK(wholeOf(call("GET", "/vms")).body == "[]");
}

TEST_SUITE_END();
