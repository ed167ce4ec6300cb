#include "Process/Loop/ProcessLoop.h"
#include "platform/RowDecoder.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Platform;

TEST_SUITE_BEGIN("Platform");

/** The operator's table on its way from the store, through a relaying VM, to another VM. */
struct EvacuationRowsFixture
{
    class Sink final : public SnapshotSink
    {
    public:
        void publish(std::shared_ptr<const GatewaySnapshot> snapshot) override
        {
            last = std::move(snapshot);
        }
        std::shared_ptr<const GatewaySnapshot> last;
    };

    class Events final : public EventSink
    {
    public:
        using EventSink::record;
        void record(EventId id, std::span<const EventField> fields) override
        {
            evacuated += id == EventId::ZoneEvacuated ? 1 : 0;
            returned += id == EventId::ZoneReturned ? 1 : 0;
            if (id == EventId::ZoneEvacuated || id == EventId::ZoneReturned)
                source = fields[1].value;
        }
        unsigned evacuated = 0;
        unsigned returned = 0;
        std::string source;
    };

    struct Vm
    {
        RowDecoder decoder;
        ManualClock clock;
        Sink sink;
        Events events;
        GatewayControl control{sink, events, clock};
        RowMirror mirror{decoder, control};

        std::set<ZoneName> evacuated() const
        {
            return sink.last ? sink.last->evacuatedZones : std::set<ZoneName>();
        }
    };

    static SourceRow configRow(std::uint64_t version)
    {
        return {"config",
                R"({"version":7,"services":[{"name":"desk","health_path":"/h"}],"hosts":[]})",
                version, false};
    }
    static SourceRow evacuation(const std::string &zone, std::uint64_t version,
                                const std::string &value = "{}")
    {
        return {"evacuate/" + zone, value, version, false};
    }
    static SourceRow removal(const std::string &zone, std::uint64_t version)
    {
        return {"evacuate/" + zone, {}, version, true};
    }

    /** Passes on what the other VM lacks, as a relay does. */
    void relay()
    {
        RelayChanges changes;
        auto &table = changes.tables[static_cast<std::size_t>(RowTable::Routes)];
        auto rows = reader.mirror.changesSince(RowTable::Routes,
                                               client.mirror.position(RowTable::Routes));
        table.isFullTable = !rows;
        table.rows = rows ? *rows : reader.mirror.allRows(RowTable::Routes);
        table.position = reader.mirror.position(RowTable::Routes);
        const auto decoded = decodeRelayChanges(encodeRelayChanges(changes));
        REQUIRE(decoded);
        const auto &received = decoded.value().tables[static_cast<std::size_t>(RowTable::Routes)];
        const TableOrigin origin{VmId("reader"), client.clock.now()};
        if (received.isFullTable)
            client.mirror.replaceAll(RowTable::Routes, received.rows, received.position, origin);
        else
            client.mirror.apply(RowTable::Routes, received.rows, received.position, origin);
    }

    void read(std::vector<SourceRow> rows, std::uint64_t position)
    {
        reader.mirror.replaceAll(RowTable::Routes, rows, position, {});
    }
    void change(std::vector<SourceRow> rows, std::uint64_t position)
    {
        reader.mirror.apply(RowTable::Routes, rows, position, {});
    }

    Vm reader;
    Vm client;
    const ZoneName east{"east"};
    const ZoneName west{"west"};
};

// Guards against a VM that learns of the routes, and serves requests, before it knows the zones
// that are evacuated.
TEST_CASE_FIXTURE(EvacuationRowsFixture, "evacuation, VM starts, is known with the first routes")
{
    read({configRow(3), evacuation("east", 4)}, 5);
    REQUIRE(reader.sink.last);
    CHECK(reader.sink.last->routes);
    CHECK(reader.evacuated() == std::set{east});
    relay();
    REQUIRE(client.sink.last);
    CHECK(client.sink.last->routes);
    CHECK(client.evacuated() == std::set{east});
    CHECK(client.events.source == "reader");
}

// Guards against an evacuation that VMs without a connection to the store never learn of, and
// against one that they never take back.
TEST_CASE_FIXTURE(EvacuationRowsFixture, "evacuation, row written and deleted, reaches relayed VMs")
{
    read({configRow(3)}, 3);
    relay();
    change({evacuation("east", 4)}, 4);
    relay();
    CHECK(client.evacuated() == std::set{east});
    change({removal("east", 5), evacuation("west", 6)}, 6);
    relay();
    CHECK(client.evacuated() == std::set{west});
    CHECK(client.events.evacuated == 2);
    CHECK(client.events.returned == 1);
}

// Guards against a zone that stays evacuated because its row was deleted while the VM missed
// changes, and against one that returns because a lagging source still has the older state.
TEST_CASE_FIXTURE(EvacuationRowsFixture, "evacuation, table is read again, replaces the whole set")
{
    read({configRow(3), evacuation("east", 4)}, 5);
    relay();
    read({configRow(3), evacuation("west", 8)}, 9);
    CHECK(reader.evacuated() == std::set{west});
    relay();
    CHECK(client.evacuated() == std::set{west});
    read({configRow(3), evacuation("east", 4)}, 5);
    change({removal("west", 7)}, 7);
    CHECK(reader.evacuated() == std::set{west});
}

// Guards against zones that get requests again while the store cannot be reached.
TEST_CASE_FIXTURE(EvacuationRowsFixture, "evacuation, store is away, stays as last known")
{
    read({configRow(3), evacuation("east", 4)}, 5);
    const auto error = makeError(ProcessError::PeerMessageInvalid);
    reader.control.dependencyFailed(Dependency::RouteSource, error);
    reader.control.fleetSizeReceived(50);
    reader.control.changesComplete();
    reader.control.dependencyResponded(Dependency::RouteSource);
    reader.control.fleetSizeReceived(80);
    reader.control.changesComplete();
    CHECK(reader.evacuated() == std::set{east});
    CHECK(reader.events.returned == 0);
}

// Guards against an evacuation that is ignored because of its value, and against rows of other
// kinds that are taken for one.
TEST_CASE_FIXTURE(EvacuationRowsFixture, "evacuation, odd rows, only the key counts")
{
    read({configRow(1),
          evacuation("east", 2, ""),
          evacuation("west", 3, "\xff{["),
          evacuation("", 4),
          {"evacuate", "{}", 5, false},
          {"evacuated/north", "{}", 6, false}},
         7);
    CHECK(reader.evacuated() == std::set{east, west});
}

TEST_SUITE_END();
