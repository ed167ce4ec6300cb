#include "Connection/RawSocket.h"
#include "Core/Encoding/CoreEncoding.h"
#include "Process/Loop/ProcessLoop.h"
#include "platform/RowDecoder.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Platform;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Platform");

/** Rows of other writers among those of sound targets, from the store to the snapshot. */
struct OddRowsFixture
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
            rejected += id == EventId::TargetRecordInvalid ? 1 : 0;
            for (const auto &it : fields)
                longestField = std::max(longestField, it.value.size());
        }
        unsigned rejected = 0;
        std::size_t longestField = 0;
    };

    static std::string soundValue()
    {
        return R"({"service":"desk","address":"10.1.2.3:8080","zone":"z1","version":"v1","slots":6,)"
               R"("state":"ready","seq":4,"warmup_left_ms":0,"born":1780946659019})";
    }

    /** @return the value of a sound row with one field replaced by other JSON text. */
    static std::string withField(const std::string &field, const std::string &text)
    {
        auto object = nlohmann::json::parse(soundValue());
        object[field] = "@";
        auto value = object.dump();
        return value.replace(value.find("\"@\""), 3, text);
    }

    static std::string nested(std::size_t depth)
    {
        return std::string(depth, '[') + std::string(depth, ']');
    }

    static std::vector<std::string> oddValues()
    {
        constexpr std::size_t depth = 100'000;
        return {nested(depth),
                std::string(depth, '['),
                withField("extra", nested(depth)) + "x",
                withField("slots", nested(depth)),
                withField("slots", "1e400"),
                withField("slots", "18446744073709551616"),
                withField("slots", "-1"),
                withField("seq", "1e308"),
                withField("born", "1e300"),
                withField("born", "-5"),
                withField("born", "0.5"),
                withField("warmup_left_ms", "1e18"),
                withField("address", R"("10.1.2.3:0")"),
                withField("address", R"("10.1.2.3:65536")"),
                withField("address", R"("10.1.2.3:99999999999999999999")"),
                withField("address", '"' + std::string(10'000, '9') + ":80\""),
                withField("address", R"("10.1.2.3\u0000:80")"),
                withField("service", R"("")"),
                withField("state", R"("READY")"),
                std::string("\0\xff\xfe", 3),
                ""};
    }

    static SourceRows rows()
    {
        SourceRows rows;
        std::size_t n = 0;
        for (const auto &it : oddValues())
            rows.rows.push_back({"odd-" + std::to_string(n++), it, 3, false});
        rows.rows.push_back({"sound", soundValue(), 4, false});
        rows.position = 10;
        return rows;
    }

    Sink sink;
    Events events;
    ManualClock clock;
    GatewayControl control{sink, events, clock};
    RowDecoder translator;
    RowMirror mirror{translator, control};
};

// Guards against processes that end, or stop following the targets, because of one odd entry.
TEST_CASE_FIXTURE(OddRowsFixture, "odd rows, in the table of targets, leave the sound one in use")
{
    const auto all = rows();
    mirror.replaceAll(RowTable::Targets, all.rows, all.position, {});
    REQUIRE(sink.last);
    REQUIRE(sink.last->targets.size() == 1);
    CHECK(sink.last->targets.front().id == TargetId("sound"));
    CHECK(events.rejected == oddValues().size());
    CHECK(events.longestField <= 300);

    // A second read of the same rows is not logged again.
    mirror.replaceAll(RowTable::Targets, all.rows, all.position.version + 1, {});
    CHECK(events.rejected == oddValues().size());
    CHECK(sink.last->targets.size() == 1);

    // Changes go on.
    const SourceRow changed[] = {{"odd-0", nested(50'000), 12, false},
                                 {"sound-2", soundValue(), 13, false}};
    mirror.apply(RowTable::Targets, changed, 13, {});
    CHECK(sink.last->targets.size() == 2);
}

// Guards against relays that fail for a whole fleet because of one odd entry.
TEST_CASE_FIXTURE(OddRowsFixture, "odd rows, relayed to another VM, arrive with the sound one")
{
    RelayChanges changes;
    changes.tables[1] = {10, rows().rows, true};
    const auto decoded = decodeRelayChanges(encodeRelayChanges(changes));
    REQUIRE(decoded);
    mirror.replaceAll(RowTable::Targets, decoded.value().tables[1].rows, 10, {});
    REQUIRE(sink.last);
    CHECK(sink.last->targets.size() == 1);
}

// Guards against a configuration that ends the process.
TEST_CASE_FIXTURE(OddRowsFixture, "odd rows, as the operator's routes, are rejected")
{
    for (const auto &it : oddValues()) {
        const SourceRow row[] = {{"config", it, 3, false}};
        mirror.replaceAll(RowTable::Routes, row, 3, {});
    }
    CHECK((!sink.last || !sink.last->routes));
    CHECK(control.counters().routesRejected == oddValues().size());
}

// Guards against a page of rows that is dropped as a whole because of one of them.
TEST_CASE_FIXTURE(OddRowsFixture, "odd rows, in a page of the store, do not hide the others")
{
    const auto page =
            R"({"ver":9,"truncated":false,"rows":[{"ver":1},7,{"key":7,"ver":2},)"
            R"({"key":"odd-1","ver":3,"value":7},{"key":"odd-2","ver":1e400,"value":""},)";
    const auto end = R"({"key":"sound","ver":5,"value":")" + encodeBase64(soundValue()) + "\"}]}";
    // A number that is out of range makes the page itself unreadable, which is a failed call.
    const std::string pages[] = {
            std::string(page).substr(0, std::string(page).find(R"({"key":"odd-2")")) + end,
            page + end,
            R"({"ver":9,"rows":[{"key":"odd-3","ver":3,"value":)" + nested(100'000) + "}," + end};
    std::vector<std::size_t> counts;
    for (const auto &it : pages) {
        ScriptedServer server([&it](RawSocket &socket, unsigned) {
            socket.readUntil("\r\n\r\n");
            socket.send(encodeOkResponse(it));
            socket.readAll();
        });
        boost::asio::io_context io;
        SteadyClock steadyClock;
        LoopContext context{io, steadyClock};
        StoreClient store(context, server.endpoint());
        std::optional<Result<SourceRows>> result;
        store.readRows(RowTable::Targets, {},
                       [&](Result<SourceRows> rows) { result = std::move(rows); });
        while (!result && io.run_one_for(3s) > 0) {
        }
        REQUIRE(result);
        const auto isSound = [](const SourceRow &row) {
            return row.key == "sound" && row.value == soundValue();
        };
        counts.push_back(*result ? static_cast<std::size_t>(std::count_if(
                                 result->value().rows.begin(), result->value().rows.end(), isSound))
                                 : 0);
        store.closeAll();
    }
    CHECK(counts == std::vector<std::size_t>{1, 0, 1});
}

TEST_SUITE_END();
