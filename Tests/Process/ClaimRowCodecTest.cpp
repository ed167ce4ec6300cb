#include "Process/Http/ProcessHttp.h"
#include "Testbed/Testbed.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct ClaimRowFixture
{
    Claim claim{ClaimId("claim-1"), ContentDigest("print-1"), VmId("vm-1"), std::nullopt};
};

TEST_CASE_FIXTURE(ClaimRowFixture, "claim row, without a response, is decoded as encoded")
{
    const auto decoded = decodeClaim(encodeClaim(claim));
    REQUIRE(decoded);
    CHECK(decoded.value().id == claim.id);
    CHECK(decoded.value().fingerprint == claim.fingerprint);
    CHECK(decoded.value().vm == claim.vm);
    CHECK(!decoded.value().response);
}

// Guards against binary response bodies that JSON strings cannot represent or would alter.
TEST_CASE_FIXTURE(ClaimRowFixture, "claim row, with a binary body, is decoded as encoded")
{
    std::string body;
    for (std::size_t i = 0; i < maxRecordedBodySize; ++i)
        body.push_back(static_cast<char>(i * 7));
    for (const auto &it : {body, std::string(), std::string("a"), std::string(1, '\0')}) {
        claim.response = RecordedResponse{201, "application/octet-stream", it};
        const auto decoded = decodeClaim(encodeClaim(claim));
        REQUIRE(decoded);
        REQUIRE(decoded.value().response);
        CHECK(decoded.value().response->status == 201);
        CHECK(decoded.value().response->contentType == "application/octet-stream");
        CHECK(decoded.value().response->body == it);
    }
}

TEST_CASE_FIXTURE(ClaimRowFixture,
                  "claim row, with a response without body, is decoded without body")
{
    claim.response = RecordedResponse{200, "text/plain", std::nullopt};
    const auto decoded = decodeClaim(encodeClaim(claim));
    REQUIRE(decoded);
    REQUIRE(decoded.value().response);
    CHECK(!decoded.value().response->body);
}

TEST_CASE_FIXTURE(ClaimRowFixture, "claim row, with malformed content, is rejected")
{
    for (const auto *it :
         {"", "{}", "[1]", "\"x\"", "{\"claim\":1,\"fingerprint\":\"\",\"vm\":\"\"}",
          "{\"claim\":\"a\",\"fingerprint\":\"b\",\"vm\":\"c\",\"answer\":2}"})
        CHECK(decodeClaim(it).has_error());
}

struct ClaimStoreFixture : ClaimRowFixture
{
    Testbed::FakePlatform platform{{"127.0.0.1", 0}};
    SteadyClock clock;
    ControlTraffic traffic;
    PlatformClient client{platform.endpoint(), 10s, clock, traffic};
    TableClient tables{client};
    ClaimStoreClient store{tables};
};

// Guards against keys with reserved URL characters that would change the row's path.
TEST_CASE_FIXTURE(ClaimStoreFixture, "claim store, with special characters in keys, separates rows")
{
    for (const auto *it : {"plain", "a/b", "a%2Fb", "..", "a?b=c#d", "a b", "\xc3\xa9"}) {
        CAPTURE(it);
        const ClaimKey key{"jomakhata", it};
        const auto inserted = store.insert(key, claim);
        REQUIRE(inserted.status == ClaimWriteStatus::Written);
        CHECK(store.insert(key, claim).status == ClaimWriteStatus::ConditionFailed);
        const auto read = store.read(key);
        REQUIRE(std::holds_alternative<StoredClaim>(read));
        CHECK(std::get<StoredClaim>(read).tag == inserted.tag);
        CHECK(std::get<StoredClaim>(read).claim.id == claim.id);
    }
}

// Guards against the release or overwriting of a row that changed since its holder wrote it.
TEST_CASE_FIXTURE(ClaimStoreFixture, "claim store, with a stale tag, writes nothing")
{
    const ClaimKey key{"jomakhata", "key-1"};
    const auto inserted = store.insert(key, claim);
    claim.response = RecordedResponse{200, "text/plain", "paid"};
    const auto recorded = store.record(key, claim, inserted.tag);
    CHECK(recorded.status == ClaimWriteStatus::Written);
    CHECK(store.release(key, inserted.tag).status == ClaimWriteStatus::ConditionFailed);
    CHECK(store.record(key, claim, inserted.tag).status == ClaimWriteStatus::ConditionFailed);
    CHECK(std::get<StoredClaim>(store.read(key)).claim.response->body == "paid");
    CHECK(store.release(key, recorded.tag).status == ClaimWriteStatus::Written);
    CHECK(std::get<ClaimReadError>(store.read(key)) == ClaimReadError::NoRow);
}

TEST_CASE_FIXTURE(ClaimStoreFixture,
                  "claim store, with a row that is not a claim, reports InvalidClaim")
{
    REQUIRE(tables.put("claims", "jomakhata/key-1", "x").status == WriteStatus::Written);
    const ClaimKey key{"jomakhata", "key-1"};
    CHECK(std::get<ClaimReadError>(store.read(key)) == ClaimReadError::InvalidClaim);
}

TEST_SUITE_END();
