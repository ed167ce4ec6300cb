#include "Process/Loop/ProcessLoop.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

namespace {

constexpr AllowancePolicy policy{5s, 0.1, 20};

Workspace makeWorkspace(double requestsPerSecond, double burst)
{
    Workspace workspace;
    workspace.name = "w";
    workspace.requestsPerSecond = requestsPerSecond;
    workspace.burst = burst;
    return workspace;
}

} // namespace

TEST_SUITE_BEGIN("Process");

/** A collector with one workspace of 100 requests per second. */
struct AllowanceCollectorFixture
{
    AllowanceCollectorFixture()
    {
        clock.advance(1h);
        collector.setWorkspaces(std::vector{workspace}, policy, clock.now());
    }

    DelegateMessage delegation(std::uint64_t sequence, double share) const
    {
        return {{1, 0}, sequence, collectorId, clock.now().time_since_epoch(), share};
    }
    unsigned grant(std::uint64_t id, unsigned count)
    {
        return collector.grant({5, id, "w", count}, clock.now()).count;
    }

    static constexpr std::uint64_t collectorId = 7;
    ManualClock clock;
    Workspace workspace = makeWorkspace(100, 10);
    AllowanceCollector collector{collectorId};
};

// Guards against a collector that grants tokens of time before it had the shares.
TEST_CASE_FIXTURE(AllowanceCollectorFixture, "allowance collector, take-over, begins empty")
{
    collector.delegate(delegation(1, 0.5), clock.now());
    CHECK(grant(1, 10) == 0);
    clock.advance(100ms);
    CHECK(grant(2, 10) == 5);
}

// Guards against two places that use one share at the same time.
TEST_CASE_FIXTURE(AllowanceCollectorFixture,
                  "allowance collector, share expires, drops its tokens at the stated time")
{
    const auto message = delegation(1, 1);
    clock.advance(500ms);
    collector.delegate(message, clock.now());
    clock.advance(delegationTime - 501ms);
    CHECK(collector.liveShare(clock.now()) == doctest::Approx(1));
    clock.advance(1ms);
    CHECK(collector.liveShare(clock.now()) == 0);
    CHECK(grant(1, 1) == 0);
}

// Guards against a delayed message that brings back a share after its owner took it back, and
// against one for an earlier process at the same address.
TEST_CASE_FIXTURE(AllowanceCollectorFixture,
                  "allowance collector, outdated messages, do not set the share")
{
    const auto earlier = delegation(1, 1);
    collector.delegate(delegation(2, 0), clock.now());
    collector.delegate(earlier, clock.now());
    CHECK(collector.liveShare(clock.now()) == 0);
    auto misaddressed = delegation(3, 1);
    misaddressed.collector = collectorId + 1;
    collector.delegate(misaddressed, clock.now());
    CHECK(collector.liveShare(clock.now()) == 0);
}

// Guards against a repeated request that takes tokens twice.
TEST_CASE_FIXTURE(AllowanceCollectorFixture,
                  "allowance collector, repeated request, gets the same answer once")
{
    collector.delegate(delegation(1, 1), clock.now());
    clock.advance(100ms);
    CHECK(grant(1, 6) == 6);
    CHECK(grant(1, 6) == 6);
    CHECK(grant(2, 6) == 4);
}

// Guards against refused callers that all return at the same moment.
TEST_CASE_FIXTURE(AllowanceCollectorFixture,
                  "allowance collector, no tokens, spreads the times to come back")
{
    collector.delegate(delegation(1, 1), clock.now());
    const auto first = collector.grant({5, 1, "w", 1}, clock.now());
    const auto second = collector.grant({6, 1, "w", 1}, clock.now());
    CHECK(toSeconds(first.emptyFor) == doctest::Approx(0.01));
    CHECK(second.retryAfter > first.retryAfter);
    CHECK(toSeconds(second.retryAfter) == doctest::Approx(0.03));
}

// Guards against limits without bursts and slack that grant nothing, or more than the bound.
TEST_CASE("allowance rate, limits of all sizes, uses most of the bound and no more")
{
    for (const double slack : {0.0, 20.0}) {
        for (const double rate : {0.5, 3.0, 1000.0}) {
            const AllowancePolicy plain{5s, 0, slack};
            const auto tokens = AllowanceRate::of(makeWorkspace(rate, 0), plain);
            const auto bound = AllowanceRate::bound(makeWorkspace(rate, 0), plain);
            const auto seconds = toSeconds(plain.window + AllowanceRate::tokenLifetime);
            CHECK(tokens.tokensPerSecond * seconds + tokens.capacity <= bound);
            CHECK(tokens.capacity >= 1);
            CHECK(tokens.tokensPerSecond >= rate / 3);
        }
    }
}

// Guards against larger shares while other VMs may still use theirs.
TEST_CASE("allowance share, fleet size changes, grows only after a delay")
{
    ManualClock clock;
    AllowanceShareEstimate estimate;
    estimate.setFleetSize(10, clock.now());
    CHECK(estimate.share(clock.now()) == 1.0 / AllowanceShareEstimate::assumedFleetSize);
    clock.advance(AllowanceShareEstimate::shrinkDelay);
    CHECK(estimate.share(clock.now()) == 0.1);
    estimate.setFleetSize(20, clock.now());
    CHECK(estimate.share(clock.now()) == 0.05);
}

// Guards against a fleet that refuses nearly all requests for seconds after all VMs restarted.
TEST_CASE("allowance share, fleet counted before the start, uses the first size at once")
{
    ManualClock clock;
    AllowanceShareEstimate estimate(true);
    estimate.setFleetSize(AllowanceShareEstimate::assumedFleetSize, clock.now());
    estimate.setFleetSize(10, clock.now());
    CHECK(estimate.share(clock.now()) == 0.1);
    estimate.setFleetSize(5, clock.now());
    CHECK(estimate.share(clock.now()) == 0.1);
}

/** A client whose messages the test answers. */
struct AllowanceClientFixture
    : AllowanceTransport
    , EventSink
{
    AllowanceClientFixture()
    {
        clock.advance(1h);
        client = std::make_unique<AllowanceClient>(2, clock, *this, *this);
        client->setWorkspaces(std::vector{workspace}, policy);
        client->setCollectors(std::vector{collector});
        client->tick();
        const auto probe = std::get<DelegateMessage>(sent.back());
        client->receive(collector, DelegateAnswer{0, 1, 7, Duration(1)});
        CHECK(probe.share == 0);
        sent.clear();
    }

    using EventSink::record;
    void record(EventId, std::span<const EventField>) override {}
    void send(const Endpoint &, const AllowanceMessage &message) override
    {
        sent.push_back(message);
    }
    void acquire()
    {
        client->acquire(workspace, [this](const AllowanceDecision &decision) {
            ++(decision.isGranted ? granted : refused);
            retryAfter = decision.retryAfter;
        });
    }

    ManualClock clock;
    Workspace workspace = makeWorkspace(100, 10);
    Endpoint collector{"127.0.0.1", 1};
    std::vector<AllowanceMessage> sent;
    std::unique_ptr<AllowanceClient> client;
    unsigned granted = 0;
    unsigned refused = 0;
    Duration retryAfter{};
};

// Guards against tokens that are lost when a request finds no target, and against those that are
// kept beyond their lifetime, which would move requests to a later window.
TEST_CASE_FIXTURE(AllowanceClientFixture,
                  "allowance client, request gives its token back, keeps it until it expires")
{
    acquire();
    REQUIRE(sent.size() == 1);
    client->receive(collector, TokenAnswer{1, 1, {}, {}});
    CHECK(granted == 1);
    client->giveBack(workspace);
    clock.advance(AllowanceRate::tokenLifetime - 1ms);
    CHECK(client->tryAcquire(workspace));
    client->giveBack(workspace);
    clock.advance(1ms);
    CHECK_FALSE(client->tryAcquire(workspace));
}

// Guards against a message for each refused request of a workspace that sends too much.
TEST_CASE_FIXTURE(AllowanceClientFixture,
                  "allowance client, collector has no tokens, refuses without asking again")
{
    acquire();
    client->receive(collector, TokenAnswer{1, 0, 100ms, 400ms});
    CHECK(refused == 1);
    CHECK(retryAfter == 400ms);
    acquire();
    CHECK(refused == 2);
    CHECK(sent.size() == 1);
    clock.advance(100ms);
    acquire();
    CHECK(sent.size() == 2);
}

// Guards against a request that waits for a lost answer until its deadline.
TEST_CASE_FIXTURE(AllowanceClientFixture,
                  "allowance client, answer is lost, repeats the request and then refuses")
{
    acquire();
    clock.advance(AllowanceClient::answerTimeout);
    client->tick();
    REQUIRE(sent.size() == 2);
    CHECK(std::get<TokenRequest>(sent[0]) == std::get<TokenRequest>(sent[1]));
    clock.advance(AllowanceClient::maxWait);
    client->tick();
    CHECK(refused == 1);
    // The answer comes after the request was refused, and is for others.
    client->receive(collector, TokenAnswer{1, 1, {}, {}});
    CHECK(client->tryAcquire(workspace));
}

// Guards against a process that ends or misreads on input that is not of this format.
TEST_CASE("allowance codec, malformed messages, are not decoded")
{
    const AllowanceMessage messages[] = {
            DelegateMessage{{~0ULL, 1}, 3, 4, 5s, 0.01}, DelegateAnswer{1, 2, ~0ULL, 3s},
            TokenRequest{1, 2, "workspace", 3}, TokenAnswer{1, 2, 3ms, 4ms}};
    for (const auto &message : messages) {
        const auto bytes = encodeAllowanceMessage(message);
        CHECK(decodeAllowanceMessage(bytes) == message);
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CHECK_FALSE(decodeAllowanceMessage(std::string_view(bytes).substr(0, n)));
        CHECK_FALSE(decodeAllowanceMessage(bytes + '\0'));
        for (std::size_t i = 0; i < bytes.size(); ++i) {
            for (const int bit : {1, 16, 128}) {
                auto changed = bytes;
                changed[i] = static_cast<char>(changed[i] ^ bit);
                const auto decoded = decodeAllowanceMessage(changed);
                CHECK((!decoded || encodeAllowanceMessage(*decoded).size() <= 1024));
            }
        }
    }
    CHECK_FALSE(decodeAllowanceMessage(std::string(2048, '\x80')));
}

/** A collector and a client with real sockets. */
struct AllowanceSocketFixture
    : SnapshotSink
    , EventSink
{
    using EventSink::record;
    void record(EventId, std::span<const EventField>) override {}
    void publish(std::shared_ptr<const GatewaySnapshot> snapshot) override
    {
        published = std::move(snapshot);
    }

    boost::asio::io_context io;
    BootClock clock;
    LoopContext context{io, clock};
    std::shared_ptr<const GatewaySnapshot> published;
};

// Guards against a collector and a client that do not understand each other.
TEST_CASE_FIXTURE(AllowanceSocketFixture,
                  "allowance link, collector has shares, grants requests over sockets")
{
    // A free port for the collector, which uses the one after that of the relay.
    DatagramSocket probe(context, [](const auto &, auto) {});
    REQUIRE(probe.open({"127.0.0.1", 0}));
    const auto port = probe.localEndpoint().port;
    probe.close();
    GatewaySettings settings;
    settings.relayEndpoint = {"127.0.0.1", static_cast<std::uint16_t>(port - 1)};
    settings.allowanceSlack = 20;
    GatewayControl control(*this, *this, clock);
    AllowanceServer server(context, control, settings);
    REQUIRE(server.listen());
    RouteTableContent content;
    content.version = 1;
    content.workspaces = {makeWorkspace(100, 10)};
    control.routesReceived(content);
    control.fleetSizeReceived(1);
    control.relaysReceived(std::vector{settings.relayEndpoint});
    control.changesComplete();
    REQUIRE(published);

    AllowanceLink link(context, *this, settings);
    link.update(*published);
    unsigned granted = 0;
    const auto giveUpAt = clock.now() + 30s;
    while (granted == 0 && clock.now() < giveUpAt) {
        link.gate().acquire(content.workspaces.front(),
                            [&](const auto &decision) { granted += decision.isGranted ? 1 : 0; });
        io.run_for(50ms);
    }
    CHECK(granted > 0);
    CHECK(link.client().collectorCount() == AllowanceClient::slotCount);
    CHECK(server.invalidMessages() == 0);
}

TEST_SUITE_END();
