#include "Connection/Loop/ConnectionLoop.h"
#include "Connection/RawSocket.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;
using namespace std::string_view_literals;

TEST_SUITE_BEGIN("Connection");

namespace {

/** Attempts over both engines that read responses. */
struct PartialResponseFixture
{
    /** Larger than the socket buffers, so that the end is written only once the peer reads. */
    static constexpr std::size_t longUploadBytes = 32 * mebibyte;

    static AttemptResult attemptOverHttpTransport(const Endpoint &endpoint, std::size_t bodyBytes)
    {
        const SteadyClock clock;
        HttpTransport transport(clock, kibibyte);
        TargetSpec target;
        target.endpoint = endpoint;
        RequestInfo info;
        info.id = RequestId("request-1");
        info.service = ServiceName("desk");
        info.method = "POST";
        info.path = "/x";
        info.deadline = clock.now() + 20s;
        return transport.attempt(
                {info, target, ServicePolicy(), {}, std::string(bodyBytes, 'x'), 0});
    }

    AttemptResult attemptOverLoop(const Endpoint &endpoint, std::size_t bodyBytes,
                                  std::string_view method = "POST")
    {
        boost::asio::io_context io;
        LoopContext context{io, clock};
        auto connection = std::make_shared<UpstreamConnection>(context);
        AttemptResult result;
        connection->open(toTcpEndpoint(endpoint).value(), 5s, 5s);
        UpstreamRequest request;
        request.bytes.append(method).append(" /x HTTP/1.1\r\nHost: a\r\nContent-Length: ");
        request.bytes += std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'x');
        connection->exchange(std::move(request), 20s, [&](AttemptResult attempt) {
            result = std::move(attempt);
            isReusable = connection->isReusable();
            // A reusable connection waits for input without end.
            connection->close();
        });
        io.run_for(20s);
        return result;
    }

    static std::string_view resultName(const AttemptResult &result)
    {
        if (const auto *unknown = std::get_if<Unknown>(&result.outcome))
            return nameOf(unknown->reason);
        return std::holds_alternative<Answered>(result.outcome) ? "answered" : "not-run";
    }

    SteadyClock clock;
    /** Whether the last connection of the loop could be used again. */
    bool isReusable = false;
};

/** Responses with heads that are none by RFC 9112, and with broken chunks. */
constexpr std::string_view invalidResponses[] = {
        "HTTP/1.1 000 \r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 099 Low\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 20 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 +20 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 2000 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 0200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1\t200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX y: z\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nContent Length: 3\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nContent-Length\t: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\n Content-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX\x01y: z\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX\x7f: z\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX\0y: z\r\nContent-Length: 5\r\n\r\nwhole"sv,
        "HTTP/1.1 200 OK\r\nX: y\0z\r\nContent-Length: 5\r\n\r\nwhole"sv,
        "HTTP/1.1 200 OK\r\nX: y\rz: a\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX: y\nZ: a\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX\rY: z\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\n: z\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX\xe4: z\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 103 E\r\nX y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
};

/** Chunked bodies that POCO or lenient parsers read, but other parsers read differently. */
constexpr std::string_view invalidChunks[] = {
        "5 whole\r\nwhole\r\n0\r\n\r\n",       "5;a\rb\r\nwhole\r\n0\r\n\r\n",
        "5;a\x01\r\nwhole\r\n0\r\n\r\n",       "5\r\nwhole\r\n0\r\nX y: z\r\n\r\n",
        "5\r\nwhole\r\n0\r\nX\x01: z\r\n\r\n", "5\r\nwhole\r\n0\r\nno field\r\n\r\n",
};

} // namespace

// Guards against a part of a body that is delivered as a whole one: the kernel reports the reset to
// the pending write only, and the reading side then sees an orderly close (report MIXED).
TEST_CASE_FIXTURE(PartialResponseFixture,
                  "loop connection, reset during a long upload, body without length is not whole")
{
    ScriptedServer server([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\n\r\npart");
        socket.reset();
    });
    // The order in which the kernel reports the events differs from run to run.
    for (int i = 0; i < 5; ++i)
        CHECK(resultName(attemptOverLoop(server.endpoint(), longUploadBytes)) == "answer-cut");
}

// Guards against a body that ends with its connection although the target has not read the request:
// it cannot be told from one that was broken off.
TEST_CASE_FIXTURE(PartialResponseFixture,
                  "loop connection, close during a long upload, body without length is not whole")
{
    ScriptedServer server([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\n\r\npart");
        socket.closeSending();
        // Does not read, so that the upload stays incomplete.
        std::this_thread::sleep_for(200ms);
    });
    CHECK(resultName(attemptOverLoop(server.endpoint(), longUploadBytes)) == "answer-cut");
}

// Guards against refusing the valid form: the request was read, then the body ended by a close.
TEST_CASE_FIXTURE(PartialResponseFixture,
                  "loop connection, close after the whole upload, body without length is whole")
{
    ScriptedServer server([](RawSocket &socket, unsigned) {
        // One character, as the search starts anew with each part that arrives.
        socket.readUntil("!");
        socket.send("HTTP/1.1 200 OK\r\n\r\nwhole");
    });
    boost::asio::io_context io;
    LoopContext context{io, clock};
    auto connection = std::make_shared<UpstreamConnection>(context);
    AttemptResult result;
    connection->open(toTcpEndpoint(server.endpoint()).value(), 5s, 5s);
    UpstreamRequest request;
    request.bytes = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n"
                    + std::string(4 * mebibyte - 1, 'x') + "!";
    connection->exchange(std::move(request), 20s,
                         [&](AttemptResult attempt) { result = std::move(attempt); });
    io.run_for(20s);
    REQUIRE(resultName(result) == "answered");
    CHECK(std::get<Answered>(result.outcome).response.body == "whole");
}

// Guards against a reset after the whole request that completes a body without a length.
TEST_CASE_FIXTURE(PartialResponseFixture,
                  "loop connection, reset after the request, body without length is not whole")
{
    ScriptedServer server([](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\n\r\npart");
        socket.reset();
    });
    CHECK(resultName(attemptOverLoop(server.endpoint(), 0)) == "answer-cut");
}

// Guards against losing a whole early response, and against sending another request behind an
// upload that the target has not read (rule UNASKED).
TEST_CASE_FIXTURE(PartialResponseFixture,
                  "loop connection, early response with a length, is whole and ends the connection")
{
    for (const std::string_view response :
         {"HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 413 Too Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(response);
            std::this_thread::sleep_for(200ms);
        });
        const auto result = attemptOverLoop(server.endpoint(), longUploadBytes);
        REQUIRE(resultName(result) == "answered");
        CHECK(std::get<Answered>(result.outcome).response.body == "whole");
        CHECK_FALSE(isReusable);
    }
}

// Guards against bytes of a forbidden body that are read as the start of the next response.
TEST_CASE_FIXTURE(PartialResponseFixture,
                  "loop connection, bodyless status that announces a body, ends the connection")
{
    for (const std::string_view head :
         {"HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"}) {
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(head);
            socket.readAll();
        });
        CHECK(resultName(attemptOverLoop(server.endpoint(), 0)) == "answered");
        CHECK_FALSE(isReusable);
    }
}

// Guards against an answer whose status is 000, or whose head holds a name with a blank or a
// control byte, that is passed on (report of other operators).
TEST_CASE_FIXTURE(PartialResponseFixture, "both engines, invalid head, have no response")
{
    for (const auto &it : invalidResponses) {
        CAPTURE(it);
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(it);
        });
        CHECK(resultName(attemptOverLoop(server.endpoint(), 0)) == "answer-framing");
        CHECK(resultName(attemptOverHttpTransport(server.endpoint(), 0)) == "answer-framing");
    }
}

// Guards against trailers and chunk extensions that escape the rules for heads.
TEST_CASE_FIXTURE(PartialResponseFixture, "both engines, invalid chunk lines, have no response")
{
    for (const auto &it : invalidChunks) {
        CAPTURE(it);
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            socket.send(it);
        });
        CHECK(resultName(attemptOverLoop(server.endpoint(), 0)) == "answer-framing");
        CHECK(resultName(attemptOverHttpTransport(server.endpoint(), 0)) == "answer-framing");
    }
}

// Guards against the blocking engine, which serves the platform's clients, taking a part of a body
// as a whole one.
TEST_CASE_FIXTURE(PartialResponseFixture,
                  "blocking transport, reset during a long upload, has no response")
{
    for (const std::string_view head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n"}) {
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(head);
            socket.send("part");
            socket.reset();
        });
        const auto result = attemptOverHttpTransport(server.endpoint(), longUploadBytes);
        CHECK(std::holds_alternative<Unknown>(result.outcome));
    }
}

TEST_SUITE_END();
