#include "platform/StoreClient.h"
#include "Connection/RawSocket.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Platform");

/** A store whose first connections go silent after one response, as after a network failure. */
struct SilentStoreFixture
{
    static constexpr unsigned silentConnections = 2;

    /** Reads the fleet list. @return whether the store responded. */
    bool readMembers()
    {
        bool hasResponse = false;
        client.readMembers([&](const Result<FleetList> &list) { hasResponse = list.has_value(); });
        io.restart();
        io.run_for(5s);
        return hasResponse;
    }

    ScriptedServer server{[](RawSocket &socket, unsigned number) {
        while (socket.readUntil("\r\n\r\n").ends_with("\r\n\r\n")) {
            socket.send(encodeOkResponse(R"({"rows":[],"ver":1,"now_ms":1})"));
            if (number < silentConnections)
                socket.readAll();
        }
    }};
    boost::asio::io_context io;
    SteadyClock clock;
    LoopContext context{io, clock};
    Platform::StoreClient client{context, server.endpoint()};
};

// Guards against a timeout for each idle connection, one call after the other, after all
// connections to the store have gone silent.
TEST_CASE_FIXTURE(SilentStoreFixture,
                  "store client, idle connections are silent, costs one timeout for all")
{
    unsigned responses = 0;
    const auto count = [&](const auto &result) { responses += result.has_value() ? 1 : 0; };
    client.readMembers(count);
    client.readRows(RowTable::Routes, {}, count);
    io.run_for(1s);
    REQUIRE(responses == silentConnections);
    CHECK_FALSE(readMembers());
    CHECK(readMembers());
}

/** A store that closes its connections in the head of a response. */
struct TruncatedStoreFixture
{
    ScriptedServer server{[](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Type: appl");
    }};
    boost::asio::io_context io;
    SteadyClock clock;
    LoopContext context{io, clock};
    Platform::StoreClient client{context, server.endpoint()};
};

// Guards against a cut response that is taken as an empty table (issue 34, report of other
// operators).
TEST_CASE_FIXTURE(TruncatedStoreFixture, "store client, store closes in the head, call fails")
{
    unsigned failures = 0;
    const auto count = [&](const auto &result) { failures += result.has_value() ? 0 : 1; };
    client.readRows(RowTable::Routes, {}, count);
    client.awaitChanges(RowTable::Targets, 1, Duration::zero(), count);
    client.readMembers(count);
    client.writeMember(FleetMember{VmId("a"), ZoneName("z"), {"127.0.0.1", 1}, 1, {}}, count);
    io.run_for(5s);
    CHECK(failures == 4);
}

/** A store whose response the test chooses, and that resets the connection after it. */
struct ResettingStoreFixture
{
    unsigned countFailures(std::string text)
    {
        response = std::move(text);
        unsigned failures = 0;
        const auto count = [&](const auto &result) { failures += result.has_value() ? 0 : 1; };
        client.writeMember(largeMember(), count);
        io.restart();
        io.run_for(5s);
        return failures;
    }

    /** @return an entry whose row is larger than the socket buffers. */
    static FleetMember largeMember()
    {
        return {VmId(std::string(16 * mebibyte, 'a')), ZoneName("z"), {"127.0.0.1", 1}, 1, {}};
    }

    std::string response;
    ScriptedServer server{[this](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.send(response);
        socket.reset();
    }};
    boost::asio::io_context io;
    SteadyClock clock;
    LoopContext context{io, clock};
    Platform::StoreClient client{context, server.endpoint()};
};

// Guards against a write that counts as done because the store's response without a length ended
// with a reset while the write was being sent (report MIXED), or because its head was invalid.
TEST_CASE_FIXTURE(ResettingStoreFixture, "store client, store resets during a write, write fails")
{
    CHECK(countFailures("HTTP/1.1 200 OK\r\n\r\n{}") == 1);
    CHECK(countFailures("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}") == 1);
    CHECK(countFailures("HTTP/1.1 200 OK\r\nX y: z\r\nContent-Length: 2\r\n\r\n{}") == 1);
}

/** A store that states its era in the header of each response. */
struct StoreEraFixture
{
    ScriptedServer server{[](RawSocket &socket, unsigned) {
        while (socket.readUntil("\r\n\r\n").ends_with("\r\n\r\n"))
            socket.send("HTTP/1.1 200 OK\r\nstore-era: 4\r\nContent-Length: 20\r\n\r\n"
                        R"({"rows":[],"ver": 7})");
    }};
    boost::asio::io_context io;
    SteadyClock clock;
    LoopContext context{io, clock};
    Platform::StoreClient client{context, server.endpoint()};
};

// Guards against a return of the store from an older copy that goes unnoticed in some call.
TEST_CASE_FIXTURE(StoreEraFixture, "store client, store states its era, positions have it")
{
    std::vector<StorePosition> positions;
    const auto collect = [&](const auto &result) {
        REQUIRE(result);
        positions.push_back(result.value().position);
    };
    client.readRows(RowTable::Routes, {}, collect);
    client.awaitChanges(RowTable::Targets, 1, Duration::zero(), collect);
    client.readMembers(collect);
    io.run_for(1s);
    CHECK(positions == std::vector<StorePosition>(3, StorePosition(7, 4)));
}

TEST_SUITE_END();
