#include "Process/Process.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct GatewayControlFixture
{
    class Sink final : public SnapshotSink
    {
    public:
        void publish(std::shared_ptr<const GatewaySnapshot> snapshot) override
        {
            last = std::move(snapshot);
            ++published;
        }
        std::shared_ptr<const GatewaySnapshot> last;
        unsigned published = 0;
    };

    class Events final : public EventSink
    {
    public:
        using EventSink::record;
        void record(EventId id, std::span<const EventField>) override { ids.push_back(id); }
        std::size_t count(EventId id) const
        {
            return static_cast<std::size_t>(std::count(ids.begin(), ids.end(), id));
        }
        std::vector<EventId> ids;
    };

    static RouteTableContent routes(std::uint64_t version)
    {
        RouteTableContent content;
        content.version = version;
        content.services.push_back({ServiceName("desk"), "/health", 220});
        content.hosts.push_back({"a.example", {}});
        Route route;
        route.name = "r" + std::to_string(version);
        route.prefix = "/p/";
        route.services.push_back({ServiceName("desk"), 1.0});
        content.hosts.back().routes.push_back(route);
        return content;
    }

    static TargetRecord target(std::string_view id)
    {
        TargetRecord record;
        record.id = TargetId(id);
        record.service = ServiceName("desk");
        return record;
    }

    void receive(std::uint64_t version)
    {
        control.routesReceived(routes(version));
        control.changesComplete();
    }

    ManualClock clock;
    Sink sink;
    Events events;
    GatewayControl control{sink, events, clock};
};

// Guards against a running process that reverts to an older configuration.
TEST_CASE_FIXTURE(GatewayControlFixture, "GatewayControl, older routes, ignores and counts them")
{
    receive(7);
    receive(5);
    CHECK(sink.last->routes->version() == 7);
    CHECK(control.counters().routesIgnored == 1);
    CHECK(sink.published == 1);
}

// Guards against invalid routes that replace valid ones.
TEST_CASE_FIXTURE(GatewayControlFixture,
                  "GatewayControl, invalid routes, keeps the previous ones in force")
{
    receive(7);
    auto content = routes(8);
    content.hosts.front().routes.front().services.front().service = ServiceName("nobody");
    control.routesReceived(std::move(content));
    control.changesComplete();
    CHECK(sink.last->routes->version() == 7);
    CHECK(control.counters().routesRejected == 1);
}

// Guards against publishing a snapshot for each of several changes in one response.
TEST_CASE_FIXTURE(GatewayControlFixture,
                  "GatewayControl, several changes in one response, publishes once")
{
    control.targetChanged(target("a"));
    control.targetChanged(target("b"));
    CHECK(sink.published == 0);
    control.changesComplete();
    CHECK(sink.published == 1);
    CHECK(sink.last->targets.size() == 2);
}

// Guards against an invalid record that affects other targets, or leaves its target in use.
TEST_CASE_FIXTURE(GatewayControlFixture, "GatewayControl, invalid record, removes its target only")
{
    control.targetChanged(target("a"));
    control.targetChanged(target("b"));
    control.targetRejected(TargetId("b"), makeError(VersionError::WrongType, "slots"));
    control.changesComplete();
    REQUIRE(sink.last->targets.size() == 1);
    CHECK(sink.last->targets.front().id == TargetId("a"));
}

// Guards against repeated log entries during an outage of a dependency.
TEST_CASE_FIXTURE(GatewayControlFixture, "GatewayControl, repeated failure, logs it once")
{
    const auto error = makeError(VersionError::FileUnreadable);
    for (int i = 0; i < 5; ++i)
        control.dependencyFailed(Dependency::TargetRegistry, error);
    control.dependencyResponded(Dependency::TargetRegistry);
    control.dependencyResponded(Dependency::TargetRegistry);
    CHECK(events.count(EventId::DependencyLost) == 1);
    CHECK(events.count(EventId::DependencyRegained) == 1);
}

// Guards against refusing requests after the registry lost the records of live targets.
TEST_CASE_FIXTURE(GatewayControlFixture,
                  "GatewayControl, expired records, uses them until the grace period ends")
{
    control.targetChanged(target("a"));
    control.dependencyFailed(Dependency::TargetRegistry, makeError(VersionError::FileUnreadable));
    control.dependencyResponded(Dependency::TargetRegistry);
    control.targetRemoved(TargetId("a"));
    control.changesComplete();
    CHECK(sink.last->targets.size() == 1);
    const auto next = control.tick();
    REQUIRE(next);
    clock.advance(*next - clock.now());
    control.tick();
    CHECK(sink.last->targets.empty());
}

// Guards against a new snapshot, and a search of all targets for the subset, with each VM that
// comes or goes in a large fleet.
TEST_CASE_FIXTURE(GatewayControlFixture, "gateway control, fleet shrinks slightly, keeps the size")
{
    control.fleetSizeReceived(100);
    control.changesComplete();
    REQUIRE(sink.last);
    CHECK(sink.last->fleetSize == 100);
    control.fleetSizeReceived(95);
    control.changesComplete();
    CHECK(sink.last->fleetSize == 100);
    control.fleetSizeReceived(101);
    control.changesComplete();
    CHECK(sink.last->fleetSize == 101);
    control.fleetSizeReceived(80);
    control.changesComplete();
    CHECK(sink.last->fleetSize == 80);
}

// Guards against a record that is valid again after a full read, and then not recognized as
// invalid.
TEST_CASE_FIXTURE(
        GatewayControlFixture,
        "gateway control, record alternates between invalid and valid, is not used while invalid")
{
    const auto error = makeError(CoreError::InvalidEndpoint, "x");
    const TargetRecord records[] = {target("a")};
    for (int i = 0; i < 2; ++i) {
        control.targetsReceived(records);
        control.changesComplete();
        CHECK(sink.last->targets.size() == 1);
        control.targetRejected(TargetId("a"), error);
        control.targetRejected(TargetId("a"), error);
        control.changesComplete();
        CHECK(sink.last->targets.empty());
    }
    CHECK(events.count(EventId::TargetRecordInvalid) == 2);
}

TEST_SUITE_END();
