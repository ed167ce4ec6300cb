#include "Connection/RawSocket.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Connection");

namespace {

/** Sends attempts over an HttpTransport to a scripted target. */
struct TransportFixture
{
    AttemptResult attempt(const Endpoint &endpoint, Duration timeout = 20s, unsigned number = 0)
    {
        target.endpoint = endpoint;
        info.deadline = clock.now() + timeout;
        return transport.attempt({info, target, policy, {}, body, number});
    }

    /** @return "answered", "not-run", or the reason if the result is unknown. */
    static std::string_view resultName(const AttemptResult &result)
    {
        if (const auto *unknown = std::get_if<Unknown>(&result.outcome))
            return nameOf(unknown->reason);
        return std::holds_alternative<Answered>(result.outcome) ? "answered" : "not-run";
    }

    TransportFixture()
    {
        info.id = RequestId("request-1");
        info.service = ServiceName("botolchin");
        info.method = "GET";
        info.path = "/codes/1";
    }

    SteadyClock clock;
    HttpTransport transport{clock, 65536};
    TargetSpec target;
    ServicePolicy policy;
    RequestInfo info;
    std::string body;
};

struct ResponseCase
{
    const char *response;
    std::string_view result;
};

constexpr ResponseCase responseCases[] = {
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "answered"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nshort", "answer-cut"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0", "answer-cut"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
         "answered"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\ncut", "answer-cut"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n", "answer-cut"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ncut\r\n0\r\n", "answer-cut"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfive\r\nwhole\r\n0\r\n\r\n",
         "answer-framing"},
        {"HTTP/1.1 200 OK\r\n\r\nno length", "answer-without-length"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "answer-framing"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nwhole!",
         "answer-framing"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: other\r\n\r\nwhole",
         "answer-mismatch"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n", "answer-too-large"},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
         "answered"},
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "answer-framing"},
        {"HTTP/1.1 200 OK\nContent-Length: 5\n\nwhole", "answer-framing"},
        {"not HTTP\r\n\r\n", "answer-framing"},
        {"", "connection-reset"},
};

} // namespace

// Guards against truncated or ambiguous responses that are forwarded as complete.
TEST_CASE_FIXTURE(TransportFixture, "attempt, with a response before a close, reports how it ended")
{
    for (const auto &it : responseCases) {
        CAPTURE(it.response);
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(it.response);
        });
        const auto result = attempt(server.endpoint());
        CHECK(resultName(result) == it.result);
        if (const auto *answered = std::get_if<Answered>(&result.outcome))
            CHECK(answered->response.body == "whole");
    }
}

// Guards against a wrong or missing reason when the connection fails before the response is
// complete.
TEST_CASE_FIXTURE(TransportFixture, "attempt, with a reset or a stall, is unknown")
{
    for (const std::string_view start :
         {"", "H", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nst"}) {
        CAPTURE(start);
        ScriptedServer resetting([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(start);
            socket.reset();
        });
        // A reset can destroy bytes sent before it, but never completes the response.
        CHECK(resultName(attempt(resetting.endpoint())) == "connection-reset");
        ScriptedServer stalling([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(start);
            socket.readAll();
        });
        CHECK(resultName(attempt(stalling.endpoint(), 100ms)) == "answer-timeout");
    }
}

// Guards against reporting "not run" for a request that was partly sent before a reset.
TEST_CASE_FIXTURE(TransportFixture, "attempt, with a reset or a stall while sending, is unknown")
{
    info.method = "POST";
    body.assign(32 << 20, 'x');
    for (const bool resets : {true, false}) {
        std::atomic<bool> done{false};
        ScriptedServer server([&](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            if (resets)
                socket.reset();
            else
                eventually([&] { return done.load(); });
        });
        const auto result = attempt(server.endpoint(), resets ? 20s : 300ms);
        done = true;
        CHECK(resultName(result) == (resets ? "connection-reset" : "answer-timeout"));
    }
}

// Guards against a duplicate POST: POCO's client would reconnect and send the request again.
TEST_CASE_FIXTURE(TransportFixture,
                  "attempt, with a reused connection that closes, sends the request once")
{
    std::atomic<unsigned> requests{0};
    ScriptedServer server([&](RawSocket &socket, unsigned number) {
        socket.readUntil("\r\n\r\n");
        ++requests;
        socket.send(encodeOkResponse("whole"));
        if (number > 0)
            return;
        // Reads the second request on the first connection and closes without a response.
        socket.readUntil("\r\n\r\n");
        ++requests;
    });
    info.method = "POST";
    info.idempotent = false;
    CHECK(resultName(attempt(server.endpoint())) == "answered");
    CHECK(resultName(attempt(server.endpoint())) == "connection-reset");
    CHECK(requests == 2);
    CHECK(server.connectionCount() == 1);
}

// Guards against late bytes of one response being parsed as the start of the next.
TEST_CASE_FIXTURE(TransportFixture,
                  "attempt, with late bytes on a pooled connection, opens a new one")
{
    std::atomic<bool> late{false};
    std::atomic<bool> sent{false};
    ScriptedServer server([&](RawSocket &socket, unsigned number) {
        socket.readUntil("\r\n\r\n");
        socket.send(encodeOkResponse(number == 0 ? "first" : "second"));
        if (number > 0)
            return;
        eventually([&] { return late.load(); });
        socket.send(encodeOkResponse("late"));
        sent = true;
        socket.readAll();
    });
    CHECK(resultName(attempt(server.endpoint())) == "answered");
    late = true;
    REQUIRE(eventually([&] { return sent.load(); }));
    const auto result = attempt(server.endpoint());
    REQUIRE(resultName(result) == "answered");
    CHECK(std::get<Answered>(result.outcome).response.body == "second");
}

// Guards against waiting for a body after HEAD, and against dropping its Content-Length.
TEST_CASE_FIXTURE(TransportFixture, "attempt, with HEAD, keeps Content-Length and expects no body")
{
    ScriptedServer server([&](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        socket.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n");
        socket.readAll();
    });
    info.method = "HEAD";
    const auto result = attempt(server.endpoint());
    REQUIRE(resultName(result) == "answered");
    const auto &response = std::get<Answered>(result.outcome).response;
    CHECK(response.body.empty());
    CHECK(encodeOutcome(response, {RequestId("a"), true, true}).find("Content-Length: 1000\r\n")
          != std::string::npos);
}

namespace {

/** Answers every request, but only the first one on the first `silentConnections` connections. */
ScriptedServer::Script respondOnceThenStaySilent(unsigned silentConnections)
{
    return [silentConnections](RawSocket &socket, unsigned number) {
        while (socket.readUntil("\r\n\r\n").ends_with("\r\n\r\n")) {
            socket.send(encodeOkResponse("whole"));
            if (number < silentConnections) {
                socket.readAll();
                return;
            }
        }
    };
}

} // namespace

// Guards against a pooled connection without a peer that uses up the whole deadline, and against
// reusing other connections that lost their peer at the same time.
TEST_CASE_FIXTURE(TransportFixture, "attempt, with silent connections, leaves time and closes them")
{
    constexpr unsigned count = 4;
    ScriptedServer server(respondOnceThenStaySilent(count));
    ConnectionPool pool(clock);
    std::vector<std::unique_ptr<UpstreamSession>> sessions;
    for (unsigned i = 0; i < count; ++i) {
        auto session = pool.open(server.endpoint(), clock.now() + 20s);
        REQUIRE(session);
        sessions.push_back(std::move(session.value()));
    }
    for (auto &it : sessions)
        pool.release(server.endpoint(), std::move(it));
    CHECK(pool.openCount(server.endpoint()) == count);
    pool.closeUnansweredSince(server.endpoint(), clock.now());
    CHECK(pool.openCount(server.endpoint()) == 0);

    ScriptedServer silent(respondOnceThenStaySilent(1));
    CHECK(resultName(attempt(silent.endpoint())) == "answered");
    const auto start = clock.now();
    CHECK(resultName(attempt(silent.endpoint(), 4s)) == "answer-timeout");
    CHECK(clock.now() < info.deadline);
    CHECK(clock.now() >= start + 2s);
    CHECK(transport.openCount(silent.endpoint()) == 0);
    CHECK(resultName(attempt(silent.endpoint(), info.deadline - clock.now(), 1)) == "answered");
}

namespace {

/** Runs requests at one target, with every retry granted. */
struct SilentTargetFixture
    : TransportFixture
    , TargetSlotAllocator
    , RetryTokens
    , RequestObserver
{
    std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &,
                                                     std::span<const TargetId>) override
    {
        return TargetLease{&target, 0, nullptr};
    }
    void release(const TargetLease &, const AttemptResult &) override {}
    void cancel(const TargetLease &) override {}
    void recordFirstAttempt() override {}
    bool takeRetry() override { return true; }
    void retried(RetryReason) override { ++retries; }
    void retryDenied(RetryDenial) override {}
    void hedged() override {}
    void hedgeWon() override {}
    void hedgeDenied(HedgeDenial) override {}

    RequestOutcome run(Duration timeout)
    {
        info.deadline = clock.now() + timeout;
        return RequestExecutor({*this, transport, *this, *this, clock}, policy).run(info, {}, body);
    }

    unsigned retries = 0;
};

} // namespace

// Guards against requests that fail when open connections stop responding but new ones work.
TEST_CASE_FIXTURE(SilentTargetFixture,
                  "executor, with a silent connection, answers before the deadline")
{
    ScriptedServer server(respondOnceThenStaySilent(1));
    target.endpoint = server.endpoint();
    REQUIRE(std::holds_alternative<Response>(run(20s)));
    CHECK(std::holds_alternative<Response>(run(4s)));
    CHECK(clock.now() < info.deadline);
    CHECK(retries == 1);
    CHECK(server.connectionCount() == 2);
}

// Guards against sending retries and non-idempotent requests on connections that may have lost
// their peer.
TEST_CASE("reusePolicyFor, with each kind of attempt, restricts what cannot be retried")
{
    RequestInfo info;
    RetryPolicy policy;
    CHECK(reusePolicyFor(info, policy, 0) == ReusePolicy::Any);
    CHECK(reusePolicyFor(info, policy, 1) == ReusePolicy::None);
    info.priorAttempts = 1;
    CHECK(reusePolicyFor(info, policy, 0) == ReusePolicy::Recent);
    info.priorAttempts = 0;
    info.idempotent = false;
    CHECK(reusePolicyFor(info, policy, 0) == ReusePolicy::Recent);
    const TimePoint now(100s);
    const ConnectionHistory old{now - 20s, now - 2s, 1};
    CHECK(canReuse(old, ReusePolicy::Any, now));
    CHECK_FALSE(canReuse(old, ReusePolicy::Recent, now));
    CHECK_FALSE(canReuse({now, now, 1}, ReusePolicy::None, now));
    CHECK(attemptDeadline(ReusePolicy::Any, now, now + 2s) == now + 1s);
    CHECK(attemptDeadline(ReusePolicy::Recent, now, now + 2s) == now + 2s);
}

// Guards against idle connections that exhaust a target's connection limit.
TEST_CASE("pool, with too many or expired idle connections, closes them")
{
    ScriptedServer server([](RawSocket &socket, unsigned) { socket.readAll(); });
    ManualClock manual;
    manual.advance(SteadyClock().now().time_since_epoch());
    ConnectionPool pool(manual);
    std::vector<std::unique_ptr<UpstreamSession>> sessions;
    for (std::size_t i = 0; i < maxConnectionsPerTarget + 5; ++i)
        sessions.push_back(
                std::move(pool.open(server.endpoint(), SteadyClock().now() + 20s).value()));
    for (auto &it : sessions)
        pool.release(server.endpoint(), std::move(it));
    CHECK(pool.openCount(server.endpoint()) == maxConnectionsPerTarget);
    manual.advance(maxIdleTime);
    pool.closeExpired();
    CHECK(pool.openCount(server.endpoint()) == 0);
}

TEST_SUITE_END();
