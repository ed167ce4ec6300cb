#include "platform/KeyRedaction.h"

#include "Connection/RawSocket.h"
#include "Core/Encoding/CoreEncoding.h"
#include "Process/Loop/ProcessLoop.h"
#include "platform/RouteDecoder.h"
#include "platform/StoreClient.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::Platform;
using namespace Sapphireladder::Tests;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Platform");

/** Configurations that hold one key, which must not appear in what is relayed. */
struct KeyRedactionFixture
{
    static constexpr std::string_view key = "secret-4711";

    /** @return a configuration whose tenants are this JSON text. */
    static std::string config(const std::string &tenants)
    {
        return R"({"version":7,"services":[{"name":"desk","health_path":"/h"}],"hosts":[{"host":"a",)"
               R"("paths":[{"name":"r","prefix":"/r/","kind":"safe","timeout_ms":500,)"
               R"("target_latency_ms":100,"service":"desk"}]}],"tenants":)"
               + tenants + "}";
    }

    static std::string keys() { return "\"api_keys\":[\"" + std::string(key) + "\"]"; }

    static std::string nested(const std::string &inner, std::size_t depth)
    {
        return std::string(depth, '[') + inner + std::string(depth, ']');
    }

    static bool isFreeOfKeys(const std::string &text)
    {
        return text.find(key) == std::string::npos;
    }
};

TEST_CASE_FIXTURE(KeyRedactionFixture, "key redaction, config with tenants, keeps the digests only")
{
    const auto text = redactKeys(config("[{\"name\":\"north\",\"priority\":2," + keys() + "}]"));
    CHECK(isFreeOfKeys(text));
    const auto routes = decodeRoutes(text);
    REQUIRE(routes);
    REQUIRE(routes.value().workspaces.size() == 1);
    const auto &workspace = routes.value().workspaces.front();
    CHECK(workspace.name == "north");
    CHECK(workspace.priority == 2);
    CHECK(workspace.keys == std::vector{sha256Hex(key)});
    CHECK(redactKeys(text) == text);
}

// Guards against the configuration of a deployment without tenants changing on the way.
TEST_CASE_FIXTURE(KeyRedactionFixture, "key redaction, config without keys, is left as it is")
{
    const std::string text = "{ \"version\" : 3, \"a\":[1 , 2] }";
    CHECK(redactKeys(text) == text);
}

// Guards against keys that are relayed in a row which the decoder rejects, and against a stack
// overflow by deep nesting.
TEST_CASE_FIXTURE(KeyRedactionFixture, "key redaction, odd JSON, relays no key")
{
    const auto workspace = "{\"name\":\"n\"," + keys() + "}";
    const auto text = std::string(key);
    const std::string odd[] = {
            "{\"first\":" + workspace + "}",
            workspace,
            "[[" + workspace + "]]",
            "[{\"name\":\"n\",\"api_keys\":\"" + text + "\"}]",
            "[{\"name\":\"n\",\"api_keys\":{\"a\":\"" + text + "\"}}]",
            "[{\"name\":\"n\",\"api_keys\":[\"" + text + "\",7]}]",
            "[{\"name\":\"n\",\"api_keys\":[[\"" + text + "\"]]}]",
            "[{\"name\":\"n\",\"\\u0061pi_keys\":[\"" + text + "\"]}]",
            "[{\"api_keys\":[\"x\"],\"api_keys\":[\"" + text + "\"]}]",
            nested(workspace, 20),
            nested(workspace, 50'000),
            "[" + workspace + ",{\"x\":" + nested("1", 50'000) + "}]",
            "[" + workspace,
    };
    for (const auto &it : odd) {
        CAPTURE(it.substr(0, 100));
        CHECK(isFreeOfKeys(redactKeys(config(it))));
    }
    for (const auto *it : {"null", "7", "\"x\"", "[]", "{}", "[null,3,\"x\"]"})
        CHECK_FALSE(redactKeys(config(it)).empty());
}

TEST_CASE_FIXTURE(KeyRedactionFixture, "key redaction, keys of another type, rejects the config")
{
    for (const auto *it : {"\"k\"", "7", "{}", "[7]", "[null]", "[[\"k\"]]"}) {
        CAPTURE(it);
        const auto text = config(R"([{"name":"n","api_keys":)" + std::string(it) + "}]");
        CHECK_FALSE(decodeRoutes(text));
        CHECK_FALSE(decodeRoutes(redactKeys(text)));
    }
}

/** A store with one configuration, read by a client. */
struct KeyedStoreFixture : KeyRedactionFixture
{
    SourceRows read()
    {
        SourceRows rows;
        client.readRows(RowTable::Routes, {}, [&rows](Result<SourceRows> read) {
            if (read)
                rows = std::move(read.value());
        });
        io.run_for(2s);
        return rows;
    }

    ScriptedServer server{[](RawSocket &socket, unsigned) {
        socket.readUntil("\r\n\r\n");
        const auto value = encodeBase64(
                config("[{\"name\":\"n\"," + keys() + "},{\"name\":\"m\",\"api_keys\":[\"k2\"]}]"));
        socket.send(encodeOkResponse(R"({"ver":9,"now_ms":1,"rows":[{"key":"config","ver":3,)"
                                     R"("value":")"
                                     + value + "\"}]}"));
    }};
    boost::asio::io_context io;
    SteadyClock clock;
    LoopContext context{io, clock};
    StoreClient client{context, server.endpoint()};
};

// Guards against keys in the rows that VMs relay to each other.
TEST_CASE_FIXTURE(KeyedStoreFixture, "store client, config with keys, relays digests only")
{
    RelayChanges changes;
    changes.tables[static_cast<std::size_t>(RowTable::Routes)] = {9, read().rows, true};
    REQUIRE(changes.tables.front().rows.size() == 1);
    const auto bytes = encodeRelayChanges(changes);
    CHECK(isFreeOfKeys(bytes));
    const auto relayed = decodeRelayChanges(bytes);
    REQUIRE(relayed);
    const auto &row = relayed.value().tables.front().rows.front();
    CHECK(isFreeOfKeys(row.value));
    const auto routes = decodeRoutes(row.value);
    REQUIRE(routes);
    CHECK(routes.value().workspaces.front().keys == std::vector{sha256Hex(key)});
}

TEST_SUITE_END();
