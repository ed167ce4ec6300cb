#include "Core/Encoding/CoreEncoding.h"
#include "Process/RecordingGateway.h"

using namespace Sapphireladder;
using namespace Sapphireladder::Tests;

TEST_SUITE_BEGIN("Process");

/** A gateway whose configuration has workspaces, and one target. */
struct WorkspaceGatewayFixture : RecordingGatewayFixture
{
    static constexpr std::string_view northKey = "north-secret-1";
    static constexpr std::string_view southKey = "south-secret-2";

    WorkspaceGatewayFixture()
        : target(addTarget("one"))
    {
        auto open = makeRoute("open", true);
        open.isPublic = true;
        content.hosts.front().routes.push_back(open);
        content.workspaces = {{"north", {sha256Hex(northKey)}}, {"south", {sha256Hex(southKey)}}};
    }

    static std::string keyField(std::string_view key, const std::string &name = "Credential")
    {
        return name + ": " + std::string(key) + "\r\n";
    }

    /** @return the number of lines in the head that begin with the name, in any spelling. */
    static std::size_t countFields(const std::string &head, std::string_view name)
    {
        std::size_t n = 0;
        const auto text = toLowerCase(head);
        const auto line = "\r\n" + toLowerCase(name) + ":";
        for (auto at = text.find(line); at != std::string::npos; at = text.find(line, at + 1))
            ++n;
        return n;
    }

    std::string lastHead() const
    {
        const auto heads = target.heads();
        REQUIRE_FALSE(heads.empty());
        return heads.back();
    }

    RecordingTarget &target;
};

// Guards against requests that run without a key that a workspace holds.
TEST_CASE_FIXTURE(WorkspaceGatewayFixture, "gateway, key missing or unknown, answers 401")
{
    publish();
    for (const auto *path : {"/read/x", "/write/x"}) {
        for (const auto &fields :
             {std::string(), keyField(""), keyField("unknown"), keyField("North-Secret-1"),
              keyField("Bearer north-secret-1"), keyField("unknown") + keyField(northKey)}) {
            CAPTURE(fields);
            const auto response = call(path, fields);
            CHECK(response.starts_with("HTTP/1.1 401"));
            CHECK(response.find("Retry-After") == std::string::npos);
        }
    }
    CHECK(target.requestCount() == 0);
    CHECK(call("/none/x", keyField("unknown")).starts_with("HTTP/1.1 404"));
}

TEST_CASE_FIXTURE(WorkspaceGatewayFixture, "gateway, public route, serves callers without a key")
{
    publish();
    CHECK(call("/open/x").starts_with("HTTP/1.1 200"));
    CHECK(countFields(lastHead(), "Tenant") == 0);
    CHECK(call("/open/x", keyField("unknown") + "Tenant: north\r\n").starts_with("HTTP/1.1 200"));
    CHECK(countFields(lastHead(), "Tenant") == 0);
    CHECK(countFields(lastHead(), "Credential") == 0);
}

// Guards against a 401 or 404 by a VM that does not know any configuration yet.
TEST_CASE_FIXTURE(WorkspaceGatewayFixture, "gateway, no version known, answers 503")
{
    CHECK(call("/read/x").starts_with("HTTP/1.1 503"));
    CHECK(call("/read/x", keyField(northKey)).starts_with("HTTP/1.1 503"));
    CHECK(call("/none/x").starts_with("HTTP/1.1 503"));
}

// Guards against a caller that poses as another workspace, and against a key at a target.
TEST_CASE_FIXTURE(WorkspaceGatewayFixture, "gateway, key known, target gets the workspace only")
{
    publish();
    const std::string forged = "Tenant: south\r\ntENANT: other\r\ncredential: south-secret-2\r\n";
    for (const auto &fields :
         {keyField(northKey) + forged, keyField(northKey, "CREDENTIAL"),
          "Tenant:south\r\n" + keyField(northKey, "credential") + "TENANT: \r\n"}) {
        CAPTURE(fields);
        CHECK(call("/write/x", fields).starts_with("HTTP/1.1 200"));
        const auto head = lastHead();
        CHECK(countFields(head, "Tenant") == 1);
        CHECK(head.find("\r\nTenant: north\r\n") != std::string::npos);
        CHECK(countFields(head, "Credential") == 0);
        CHECK(head.find("secret") == std::string::npos);
    }
}

// Guards against keys that operators or other systems can read.
TEST_CASE_FIXTURE(WorkspaceGatewayFixture,
                  "gateway, requests with keys, logs and metrics have none")
{
    publish();
    CHECK(call("/read/x", keyField(northKey)).starts_with("HTTP/1.1 200"));
    CHECK(call("/read/x", keyField("unknown-secret")).starts_with("HTTP/1.1 401"));
    CHECK(events.text().find("workspace=north") != std::string::npos);
    const auto text = metrics();
    CHECK(text.find("unknown-key") != std::string::npos);
    CHECK(events.text().find("secret") == std::string::npos);
    CHECK(text.find("secret") == std::string::npos);
    CHECK(events.text().find(sha256Hex(northKey)) == std::string::npos);
}

// Guards against a removed key that is served on, and against a new one that is refused.
TEST_CASE_FIXTURE(WorkspaceGatewayFixture, "gateway, new version with other keys, applies them")
{
    publish();
    CHECK(call("/read/x", keyField(northKey)).starts_with("HTTP/1.1 200"));
    content.workspaces[0].keys = {sha256Hex("north-secret-3")};
    publish();
    for (int i = 0; i < 5; ++i)
        CHECK(call("/read/x", keyField(northKey)).starts_with("HTTP/1.1 401"));
    CHECK(call("/read/x", keyField("north-secret-3")).starts_with("HTTP/1.1 200"));
    CHECK(call("/read/x", keyField(southKey)).starts_with("HTTP/1.1 200"));
}

TEST_SUITE_END();
