#include "Connection/CallerFixture.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Connection");

namespace {

struct InvalidRequestCase
{
    std::string request;
    const char *status;
    RefusalReason reason;
};

std::string get(std::string_view fields)
{
    return "GET /a HTTP/1.1\r\nHost: botolchin\r\n" + std::string(fields) + "\r\n";
}

std::string post(std::string_view rest)
{
    return "POST /a HTTP/1.1\r\nHost: botolchin\r\n" + std::string(rest);
}

std::vector<InvalidRequestCase> invalidRequestCases()
{
    using enum RefusalReason;
    return {
            {get("X: " + std::string(maxHeadSize, 'x') + "\r\n"), "431", HeaderTooLarge},
            {post("Content-Length: 1025\r\n\r\n"), "413", BodyTooLarge},
            {post("Transfer-Encoding: chunked\r\n\r\n401\r\n"), "413", BodyTooLarge},
            {post("Content-Length: -1\r\n\r\n"), "400", BadFraming},
            {post("Content-Length: 1x\r\n\r\n"), "400", BadFraming},
            {post("Content-Length: 99999999999999999999\r\n\r\n"), "400", BadFraming},
            {post("Content-Length: 1\r\nContent-Length: 1\r\n\r\na"), "400", BadFraming},
            {post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), "400", BadFraming},
            {post("Transfer-Encoding: gzip, chunked\r\n\r\n"), "400", BadFraming},
            {post("Transfer-Encoding: chunked\r\n\r\nzz\r\n"), "400", BadFraming},
            {get("X: a\rb\r\n"), "400", BadRequest},
            {get("X: a\nY: b\r\n"), "400", BadRequest},
            {get("X : a\r\n"), "400", BadRequest},
            {get(" folded: a\r\n"), "400", BadRequest},
            {get("no colon\r\n"), "400", BadRequest},
            {get("Host: another\r\n"), "400", BadRequest},
            {get("Sapphireladder-Timeout-Ms: soon\r\n"), "400", BadRequest},
            {get("Sapphireladder-Class: first\r\n"), "400", BadRequest},
            {get("Sapphireladder-Non-Idempotent: TRUE\r\n"), "400", BadRequest},
            {get("Idempotency-Key: a\r\nidempotency-key: b\r\n"), "400", BadRequest},
            {get("X-Request-Id: a b\r\n"), "400", BadRequest},
            {get("Sapphireladder-Timeout-Ms: 0\r\n"), "504", DeadlineExpired},
            {get("Sapphireladder-Depth: 32\r\n"), "400", DepthExceeded},
            {"GET /a HTTP/1.1\r\nHost: unknown\r\n\r\n", "404", UnknownService},
            {"GET /a HTTP/2.0\r\nHost: botolchin\r\n\r\n", "400", BadRequest},
            {"GET http://botolchin/ HTTP/1.1\r\nHost: botolchin\r\n\r\n", "400", BadRequest},
            {"G(T /a HTTP/1.1\r\nHost: botolchin\r\n\r\n", "400", BadRequest},
            {"GET /a b HTTP/1.1\r\nHost: botolchin\r\n\r\n", "400", BadRequest},
            {"\x16\x03\x01 not HTTP\r\n\r\n", "400", BadRequest},
    };
}

} // namespace

// Guards against invalid input that is run, that is refused without a reason, or that crashes the
// process.
TEST_CASE_FIXTURE(CallerFixture,
                  "caller, with invalid input, is refused with the reason and not run")
{
    listen();
    for (const auto &it : invalidRequestCases()) {
        CAPTURE(it.request);
        const auto before = refusedCount(it.reason);
        const auto response = call(it.request);
        CHECK(response.starts_with("HTTP/1.1 " + std::string(it.status) + " "));
        CHECK(response.find("Sapphireladder-Outcome: not-run\r\n") != std::string::npos);
        const auto reason = "Sapphireladder-Reason: " + std::string(nameOf(it.reason)) + "\r\n";
        CHECK(response.find(reason) != std::string::npos);
        CHECK(eventually([&] { return refusedCount(it.reason) == before + 1; }));
    }
    CHECK(servedCount() == 0);
    CHECK(call(get("")).starts_with("HTTP/1.1 200 OK"));
}

// Guards against chunked bodies that POCO accepts but that another parser reads differently or
// waits for, so that requests could be smuggled.
TEST_CASE_FIXTURE(CallerFixture, "caller, with chunks that POCO tolerates, is refused")
{
    listen();
    for (const std::string &it :
         {std::string("2\nhi\r\n0\r\n\r\n"), std::string(" 2\r\nhi\r\n0\r\n\r\n"),
          std::string("2 \r\nhi\r\n0\r\n\r\n"), std::string("\r\n2\r\nhi\r\n0\r\n\r\n"),
          std::string("2\r\nhi0\r\n\r\n"), std::string("2\r\nhi\r\n\r\n0\r\n\r\n"),
          std::string("2\r\nhi\r\n0\n"), std::string("0\r\nA: b\n"), std::string("0x2\r\nhi"),
          std::string("\r\n\r\n0\r\n\r\n"), std::string("fffffffff\r\n"),
          "2;" + std::string(300, 'x') + "\r\nhi\r\n0\r\n\r\n",
          "0\r\nA: " + std::string(maxHeadSize, 'x')}) {
        CAPTURE(it);
        const auto response = call(post("Transfer-Encoding: chunked\r\n\r\n" + it));
        CHECK(response.find("Sapphireladder-Reason: bad-framing\r\n") != std::string::npos);
    }
    CHECK(servedCount() == 0);
}

// Guards against trailer fields being parsed as the next request: POCO leaves them unread.
TEST_CASE_FIXTURE(CallerFixture, "caller, with trailers before another request, has both answered")
{
    listen();
    for (const auto *it : {"", "A: b\r\n", "A: b\r\nC: d\r\nE: f\r\n"}) {
        RawSocket socket(listener->endpoint());
        socket.send(post("Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n00\r\n") + it + "\r\n"
                    + get("Connection: close\r\n"));
        CHECK(socket.readResponse().ends_with("/a|hi"));
        CHECK(socket.readAll().ends_with("/a|"));
    }
    CHECK(servedCount() == 6);
}

// Guards against a lost refusal: the kernel resets a connection that is closed with unread input.
TEST_CASE_FIXTURE(CallerFixture,
                  "caller, while sending a body that is too large, receives the refusal")
{
    listen();
    for (int i = 0; i < 20; ++i) {
        RawSocket socket(listener->endpoint());
        socket.send(post("Content-Length: 4000000\r\n\r\n"));
        socket.send(std::string(1 << 20, 'x'));
        CHECK(socket.readAll().find("body-too-large") != std::string::npos);
    }
}

TEST_CASE_FIXTURE(CallerFixture, "caller, with each valid form of a request, is answered")
{
    listen();
    RawSocket socket(listener->endpoint());
    socket.send(get("") + post("Content-Length: 2\r\n\r\nhi") + "\r\n"
                + get("Connection: close\r\n"));
    CHECK(socket.readResponse().ends_with("/a|"));
    CHECK(socket.readResponse().ends_with("/a|hi"));
    const auto last = socket.readAll();
    CHECK(last.find("Connection: Close\r\n") != std::string::npos);
    CHECK(last.ends_with("/a|"));

    CHECK(call(post("Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nA: b\r\n\r\n"))
                  .ends_with("/a|hi"));

    RawSocket head(listener->endpoint());
    head.send("HEAD /a HTTP/1.1\r\nHost: botolchin:80\r\nConnection: close\r\n\r\n");
    CHECK(head.readAll().ends_with("\r\n\r\n"));

    RawSocket http10(listener->endpoint());
    http10.send("GET /a HTTP/1.0\r\nHost: botolchin\r\n\r\n");
    CHECK(http10.readAll().ends_with("/a|"));

    RawSocket waiting(listener->endpoint());
    waiting.send(post("Expect: 100-continue\r\nContent-Length: 2\r\n\r\n"));
    CHECK(waiting.readUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
    waiting.send("hi");
    CHECK(waiting.readResponse().ends_with("/a|hi"));
}

// Guards against callers that occupy a traffic thread by sending slowly or disconnecting.
TEST_CASE_FIXTURE(CallerFixture, "caller, with a slow or truncated request, is refused")
{
    options.limits.readTimeout = 200ms;
    listen();
    for (const auto *start : {"GET /a HT", "POST /a HTTP/1.1\r\nHost: botolchin\r\n"
                                           "Content-Length: 2\r\n\r\nh"}) {
        CHECK(call(start).find("request-timeout") != std::string::npos);
        RawSocket truncated(listener->endpoint());
        truncated.send(start);
        truncated.closeSending();
        CHECK(truncated.readAll().find("request-cut") != std::string::npos);
        RawSocket disconnecting(listener->endpoint());
        disconnecting.send(start);
        disconnecting.reset();
    }
    CHECK(eventually([&] { return refusedCount(RefusalReason::RequestTruncated) == 4; }));
    CHECK(eventually([&] { return refusedCount(RefusalReason::RequestTimeout) == 2; }));
    CHECK(servedCount() == 0);
    CHECK(eventually([&] { return listener->connectionCount() == 0; }));
}

// Guards against a connection leak if a caller disconnects while its request runs.
TEST_CASE_FIXTURE(
        CallerFixture,
        "caller, disconnected before the response, is counted and its connection released")
{
    setBlocked(true);
    listen();
    {
        RawSocket disconnecting(listener->endpoint());
        disconnecting.send("GET /held HTTP/1.1\r\nHost: botolchin\r\n\r\n");
        REQUIRE(eventually([&] { return servedCount() == 1; }));
        disconnecting.reset();
    }
    setBlocked(false);
    CHECK(eventually([&] { return recordedCount() == 1 && listener->connectionCount() == 0; }));
}

// Guards against connections that are accepted but never read: idle ones beyond the number of
// threads, and any beyond the limit.
TEST_CASE_FIXTURE(CallerFixture, "listener, at its connection limit, refuses with the reason")
{
    options.maxConnections = 8;
    listen();
    std::vector<std::unique_ptr<RawSocket>> idle;
    for (std::size_t i = 0; i < options.maxConnections; ++i) {
        idle.push_back(std::make_unique<RawSocket>(listener->endpoint()));
        idle.back()->send(get(""));
        CHECK(idle.back()->readResponse().ends_with("/a|"));
    }
    const auto response = call(get(""));
    CHECK(response.find("Sapphireladder-Outcome: not-run\r\n") != std::string::npos);
    CHECK(response.find("Sapphireladder-Reason: connection-limit\r\n") != std::string::npos);
    // The outcome is recorded after the response was sent.
    CHECK(eventually([&] { return refusedCount(RefusalReason::ConnectionLimit) == 1; }));
    CHECK(servedCount() == options.maxConnections);
}

// Guards against two processes that silently share a port, so that each receives some of the
// callers.
TEST_CASE_FIXTURE(CallerFixture, "listener, on an address in use, is not created")
{
    listen();
    options.endpoint = listener->endpoint();
    const auto second = CallerListener::create(options, *this);
    REQUIRE_FALSE(second);
    CHECK(second.error().code == ConnectionError::ListenFailed);
}

// Guards against running a request whose deadline expired while it waited for a traffic thread.
TEST_CASE_FIXTURE(CallerFixture, "request, with a deadline that expired in the queue, is not run")
{
    options.trafficThreads = 1;
    setBlocked(true);
    listen();
    RawSocket first(listener->endpoint());
    first.send("GET /held HTTP/1.1\r\nHost: botolchin\r\n\r\n");
    REQUIRE(eventually([&] { return servedCount() == 1; }));
    RawSocket second(listener->endpoint());
    second.send(get("Sapphireladder-Timeout-Ms: 50\r\n"));
    std::this_thread::sleep_for(500ms);
    setBlocked(false);
    const auto response = second.readResponse();
    CHECK(response.find("Sapphireladder-Outcome: not-run\r\n") != std::string::npos);
    CHECK(response.find("deadline-expired") != std::string::npos);
    CHECK(servedCount() == 1);
}

TEST_CASE_FIXTURE(CallerFixture,
                  "listener, with idle connections, closes them after the idle timeout")
{
    options.idleTimeout = 100ms;
    listen();
    RawSocket idle(listener->endpoint());
    idle.send(get(""));
    idle.readResponse();
    CHECK(idle.readAll().empty());
    CHECK(eventually([&] { return listener->connectionCount() == 0; }));
}

namespace {

/** Sends requests back to back, and opens a new connection when a response closes the old one. */
class ContinuousCaller
{
public:
    explicit ContinuousCaller(const Endpoint &endpoint)
        : m_endpoint(endpoint)
        , m_thread([this] { run(); })
    {}
    /** Waits until the listener accepts no more connections. */
    void finish() { m_thread.join(); }

    std::atomic<unsigned> answered{0};
    std::atomic<unsigned> truncated{0};

private:
    void run()
    {
        try {
            while (truncated == 0)
                useConnection();
        } catch (const Poco::Exception &) {
            // The listener is closed.
        }
    }

    void useConnection()
    {
        RawSocket socket(m_endpoint);
        while (true) {
            socket.send(get(""));
            const auto response = socket.readResponse();
            if (!response.ends_with("/a|")) {
                ++truncated;
                return;
            }
            ++answered;
            if (response.find("Connection: Close") != std::string::npos)
                return;
        }
    }

    Endpoint m_endpoint;
    std::thread m_thread;
};

} // namespace

// Guards against requests that are cut off by a planned stop.
TEST_CASE_FIXTURE(CallerFixture, "listener, stopped under load, answers every request")
{
    for (int round = 0; round < 5; ++round) {
        listen();
        RawSocket idle(listener->endpoint());
        std::list<ContinuousCaller> callers;
        for (int i = 0; i < 8; ++i)
            callers.emplace_back(listener->endpoint());
        for (const auto &it : callers)
            REQUIRE(eventually([&] { return it.answered > 10; }));
        listener->stop();
        CHECK(listener->connectionCount() == 0);
        for (auto &it : callers) {
            it.finish();
            CHECK(it.truncated == 0);
        }
        CHECK(idle.readAll().empty());
    }
}

// Guards against a stop that aborts a running request.
TEST_CASE_FIXTURE(CallerFixture, "listener, stopped with a request in flight, answers it")
{
    setBlocked(true);
    listen();
    RawSocket socket(listener->endpoint());
    socket.send("GET /held HTTP/1.1\r\nHost: botolchin\r\n\r\n");
    REQUIRE(eventually([&] { return servedCount() == 1; }));
    std::thread stopper([&] { listener->stop(); });
    std::this_thread::sleep_for(2 * options.stopIdleTimeout);
    setBlocked(false);
    const auto response = socket.readAll();
    stopper.join();
    CHECK(response.find("Connection: Close\r\n") != std::string::npos);
    CHECK(response.ends_with("/held|"));
}

TEST_SUITE_END();
