#include "Connection/RawSocket.h"
#include "Process/Http/ProcessHttp.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

// Guards against a pooled connection that stops responding while new connections work.
TEST_CASE("platform client, with an unresponsive pooled connection, recovers within 5 s")
{
    ScriptedServer server([](RawSocket &socket, unsigned number) {
        socket.readUntil("\r\n\r\n");
        socket.send(encodeOkResponse("value"));
        if (number == 0)
            socket.readAll();
    });
    const SteadyClock clock;
    ControlTraffic traffic;
    PlatformClient client(server.endpoint(), 20s, clock, traffic);
    const PlatformRequest request{"GET", "/tables/a/b", {}, {}};
    REQUIRE(std::holds_alternative<CompleteResponse>(client.call(request)));
    const auto start = clock.now();
    CHECK(std::holds_alternative<CompleteResponse>(client.call(request)));
    CHECK(clock.now() - start < 5s);
    CHECK(server.connectionCount() == 2);
}

// Guards against a cut response that is taken as an empty value (issue 34, report of other
// operators).
TEST_CASE("platform client, with a store that closes in the head, has no response")
{
    ScriptedServer server([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nETag: 1");
    });
    const SteadyClock clock;
    ControlTraffic traffic;
    PlatformClient client(server.endpoint(), 5s, clock, traffic);
    for (const std::string_view method : {"GET", "PUT"}) {
        const PlatformRequest request{method, "/tables/a/b", {}, {}};
        CHECK_FALSE(std::holds_alternative<CompleteResponse>(client.call(request)));
    }
}

// Guards against a write that counts as done by a part of a response, or by an invalid one (report
// MIXED and report of other operators).
TEST_CASE("platform client, with invalid or broken off responses, has no response")
{
    for (const std::string_view response :
         {"HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX y: z\r\nContent-Length: 0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nX\x01: z\r\nContent-Length: 0\r\n\r\n"}) {
        CAPTURE(response);
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(response);
            socket.reset();
        });
        const SteadyClock clock;
        ControlTraffic traffic;
        PlatformClient client(server.endpoint(), 5s, clock, traffic);
        const std::string body(16 * mebibyte, 'x');
        CHECK_FALSE(std::holds_alternative<CompleteResponse>(
                client.call({"PUT", "/tables/a/b", {}, body})));
        CHECK_FALSE(std::holds_alternative<CompleteResponse>(
                client.call({"GET", "/tables/a/b", {}, {}})));
    }
}

TEST_SUITE_END();
