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

TEST_CASE_FIXTURE(ClaimRowFixture, "claim row, without an answer, is read as written")
{
    const auto read = decodeClaim(encodeClaim(claim));
    REQUIRE(read);
    CHECK(read.value().id == claim.id);
    CHECK(read.value().fingerprint == claim.fingerprint);
    CHECK(read.value().vm == claim.vm);
    CHECK(!read.value().answer);
}

// Guards against an answer that JSON cannot hold as text, and against one that is changed by it.
TEST_CASE_FIXTURE(ClaimRowFixture, "claim row, with any bytes as body, is read as written")
{
    std::string body;
    for (std::size_t i = 0; i < recordedBodyLimit; ++i)
        body.push_back(static_cast<char>(i * 7));
    for (const auto &it : {body, std::string(), std::string("a"), std::string(1, '\0')}) {
        claim.answer = RecordedAnswer{201, "application/octet-stream", it};
        const auto read = decodeClaim(encodeClaim(claim));
        REQUIRE(read);
        REQUIRE(read.value().answer);
        CHECK(read.value().answer->status == 201);
        CHECK(read.value().answer->contentType == "application/octet-stream");
        CHECK(read.value().answer->body == it);
    }
}

TEST_CASE_FIXTURE(ClaimRowFixture, "claim row, with an answer without body, has none when read")
{
    claim.answer = RecordedAnswer{200, "text/plain", std::nullopt};
    const auto read = decodeClaim(encodeClaim(claim));
    REQUIRE(read);
    REQUIRE(read.value().answer);
    CHECK(!read.value().answer->body);
}

TEST_CASE_FIXTURE(ClaimRowFixture, "claim row, with other content, is an error")
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

// Guards against keys whose characters change the row's path.
TEST_CASE_FIXTURE(ClaimStoreFixture, "claim store, with any key, keeps one row for each")
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

// Guards against the release of a row that is no longer as its holder wrote it.
TEST_CASE_FIXTURE(ClaimStoreFixture, "claim store, with another tag, writes nothing")
{
    const ClaimKey key{"jomakhata", "key-1"};
    const auto inserted = store.insert(key, claim);
    claim.answer = RecordedAnswer{200, "text/plain", "paid"};
    const auto recorded = store.record(key, claim, inserted.tag);
    CHECK(recorded.status == ClaimWriteStatus::Written);
    CHECK(store.release(key, inserted.tag).status == ClaimWriteStatus::ConditionFailed);
    CHECK(store.record(key, claim, inserted.tag).status == ClaimWriteStatus::ConditionFailed);
    CHECK(std::get<StoredClaim>(store.read(key)).claim.answer->body == "paid");
    CHECK(store.release(key, recorded.tag).status == ClaimWriteStatus::Written);
    CHECK(std::get<ClaimAbsence>(store.read(key)) == ClaimAbsence::NoRow);
}

TEST_CASE_FIXTURE(ClaimStoreFixture, "claim store, with a row that is no claim, says so")
{
    REQUIRE(tables.put("claims", "jomakhata/key-1", "x").status == WriteStatus::Written);
    const ClaimKey key{"jomakhata", "key-1"};
    CHECK(std::get<ClaimAbsence>(store.read(key)) == ClaimAbsence::NotAClaim);
}

TEST_SUITE_END();
