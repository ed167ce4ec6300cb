#include "Connection/Loop/ConnectionLoop.h"
#include "Connection/RawSocket.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Connection");

namespace {

/** A target that closes the connection in the head of its response, or right after it. */
struct TruncatedHeadFixture
{
    static constexpr std::string_view head = "HTTP/1.1 200 OK\r\nServer-Signature: s\r\n"
                                             "Content-Length: 0\r\nX-Last: value\r\n\r\n";

    static AttemptResult attemptOverHttpTransport(const Endpoint &endpoint)
    {
        const SteadyClock clock;
        HttpTransport transport(clock, kibibyte);
        TargetSpec target;
        target.endpoint = endpoint;
        RequestInfo info;
        info.id = RequestId("request-1");
        info.service = ServiceName("desk");
        info.method = "GET";
        info.path = "/x";
        info.deadline = clock.now() + 20s;
        return transport.attempt({info, target, ServicePolicy(), {}, {}, 0});
    }

    static AttemptResult attemptOverLoop(const Endpoint &endpoint)
    {
        boost::asio::io_context io;
        SteadyClock clock;
        LoopContext context{io, clock};
        auto connection = std::make_shared<UpstreamConnection>(context);
        AttemptResult result;
        connection->open(toTcpEndpoint(endpoint).value(), 5s, 5s);
        UpstreamRequest request;
        request.bytes = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
        connection->exchange(std::move(request), 20s,
                             [&](AttemptResult attempt) { result = std::move(attempt); });
        io.run_for(20s);
        return result;
    }

    /** Runs an attempt for each length of the head that arrives. */
    template<typename Attempt>
    void checkEveryLength(Attempt attempt)
    {
        std::size_t length = 0;
        ScriptedServer server([&length](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(head.substr(0, length));
        });
        for (length = 1; length <= head.size(); ++length) {
            CAPTURE(head.substr(0, length));
            const auto result = attempt(server.endpoint());
            const bool isWhole = length == head.size();
            CHECK(std::holds_alternative<Answered>(result.outcome) == isWhole);
            CHECK(std::holds_alternative<Unknown>(result.outcome) == !isWhole);
        }
    }
};

} // namespace

// Guards against a response whose head was cut off, and that is passed on as a success with an
// empty body (issue 34, report of other operators).
TEST_CASE_FIXTURE(TruncatedHeadFixture,
                  "blocking transport, target closes in the head, has no response")
{
    checkEveryLength(attemptOverHttpTransport);
}

// The same for the event loop, which carries targets, the store and other VMs.
TEST_CASE_FIXTURE(TruncatedHeadFixture,
                  "loop connection, target closes in the head, has no response")
{
    checkEveryLength(attemptOverLoop);
}

TEST_SUITE_END();
