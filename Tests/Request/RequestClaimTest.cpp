#include "Request/Request.h"

#include <doctest/doctest.h>

#include <deque>

using namespace Sapphireladder;
using namespace std::chrono_literals;

namespace {

/** Returns the results set by the test and records its calls. */
class ScriptedClaimStore final : public ClaimStore
{
public:
    explicit ScriptedClaimStore(ManualClock &clock)
        : m_clock(clock)
    {}

    ClaimWriteResult insert(const ClaimKey &, const Claim &claim) override
    {
        calls.emplace_back("insert");
        inserted = claim;
        m_clock.advance(insertTime);
        return insertResult;
    }
    ClaimReadResult read(const ClaimKey &) override
    {
        calls.emplace_back("read");
        if (readsOwnClaim)
            return StoredClaim{inserted, "tag-own"};
        return readResult;
    }
    ClaimWriteResult record(const ClaimKey &, const Claim &claim, std::string_view tag) override
    {
        calls.push_back("record " + std::string(tag));
        recorded = claim.response;
        return {ClaimWriteStatus::Written, "tag-2"};
    }
    ClaimWriteResult release(const ClaimKey &, std::string_view tag) override
    {
        calls.push_back("release " + std::string(tag));
        return {ClaimWriteStatus::Written, {}};
    }

    ClaimWriteResult insertResult{ClaimWriteStatus::Written, "tag-1"};
    Duration insertTime{};
    bool readsOwnClaim = false;
    ClaimReadResult readResult = ClaimReadError::NoRow;
    std::vector<std::string> calls;
    Claim inserted;
    std::optional<RecordedResponse> recorded;

private:
    ManualClock &m_clock;
};

using Calls = std::vector<std::string>;

} // namespace

TEST_SUITE_BEGIN("Request");

struct RequestClaimFixture
    : TargetSlotAllocator
    , AttemptTransport
    , RetryTokens
    , RequestObserver
{
    RequestClaimFixture()
    {
        info.id = RequestId("request-1");
        info.service = ServiceName("jomakhata");
        info.method = "POST";
        info.path = "/credits";
        info.idempotent = false;
        info.key = IdempotencyKey("key-1");
        info.fingerprint = ContentDigest("print-1");
        info.deadline = TimePoint(10s);
    }

    std::variant<TargetLease, RefusalReason> acquire(const RequestInfo &,
                                                     std::span<const TargetId>) override
    {
        if (refusal)
            return *refusal;
        clock.advance(queueTime);
        return TargetLease{&target, 0, nullptr};
    }
    void release(const TargetLease &, const AttemptResult &) override { ++slotsReleased; }
    void cancel(const TargetLease &) override { ++slotsCancelled; }
    AttemptResult attempt(const AttemptRequest &) override
    {
        ++attempts;
        if (attemptOutcomes.empty())
            return {Answered{{200, {{"content-type", "text/plain"}}, "paid"}}, {}, false, {}};
        auto outcome = attemptOutcomes.front();
        attemptOutcomes.pop_front();
        return {outcome, std::nullopt, false, {}};
    }
    void recordFirstAttempt() override {}
    bool takeRetry() override { return true; }
    void retried(RetryReason) override {}
    void retryDenied(RetryDenial) override {}
    void hedged() override {}
    void hedgeWon() override {}
    void hedgeDenied(HedgeDenial) override {}

    RequestOutcome run()
    {
        const ClaimDependencies claims{store, random, vm};
        RequestExecutor executor({*this, *this, *this, *this, clock, withStore ? &claims : nullptr},
                                 policy);
        return executor.run(info, {}, "body");
    }
    RefusalReason runRefused() { return std::get<Refusal>(run()).reason; }
    UnknownReason runUnknown() { return std::get<Unknown>(run()).reason; }

    ManualClock clock;
    ScriptedClaimStore store{clock};
    RandomSource random{1};
    VmId vm{"vm-1"};
    bool withStore = true;
    ServicePolicy policy;
    RequestInfo info;
    TargetSpec target{TargetId("target-1"), {}, {}, 1};
    std::optional<RefusalReason> refusal;
    Duration queueTime{};
    std::deque<std::variant<Answered, NotRun, Unknown>> attemptOutcomes;
    int attempts = 0;
    int slotsReleased = 0;
    int slotsCancelled = 0;
};

// Guards against sending a request without a claim.
TEST_CASE_FIXTURE(RequestClaimFixture, "claim, answered request, is inserted and recorded")
{
    CHECK(std::get<Response>(run()).body == "paid");
    CHECK(store.calls == Calls{"insert", "record tag-1"});
    REQUIRE(store.recorded);
    CHECK(store.recorded->contentType == "text/plain");
    CHECK(store.recorded->body == "paid");
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, idempotent request, is not inserted")
{
    info.idempotent = true;
    CHECK(std::holds_alternative<Response>(run()));
    CHECK(store.calls.empty());
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, request without key, is not inserted")
{
    info.key.reset();
    CHECK(std::holds_alternative<Response>(run()));
    CHECK(store.calls.empty());
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, no store, request is refused without being sent")
{
    withStore = false;
    CHECK(runRefused() == RefusalReason::ClaimStoreUnavailable);
    CHECK(attempts == 0);
    CHECK(slotsCancelled == 1);
}

// Guards against store writes for requests that the queue refuses anyway.
TEST_CASE_FIXTURE(RequestClaimFixture, "claim, full queue, is not inserted")
{
    refusal = RefusalReason::QueueFull;
    CHECK(runRefused() == RefusalReason::QueueFull);
    CHECK(store.calls.empty());
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, rejected write, request is refused")
{
    store.insertResult = {ClaimWriteStatus::NotWritten, {}};
    CHECK(runRefused() == RefusalReason::ClaimStoreUnavailable);
    CHECK(store.calls == Calls{"insert"});
    CHECK(attempts == 0);
    CHECK(slotsCancelled == 1);
    CHECK(slotsReleased == 0);
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, lost response and own row found, is held")
{
    store.insertResult = {ClaimWriteStatus::Unknown, {}};
    store.readsOwnClaim = true;
    CHECK(std::holds_alternative<Response>(run()));
    CHECK(store.calls == Calls{"insert", "read", "record tag-own"});
}

// Guards against an attempt without a row, which would let a duplicate run as well.
TEST_CASE_FIXTURE(RequestClaimFixture, "claim, lost response and no row found, request is refused")
{
    store.insertResult = {ClaimWriteStatus::Unknown, {}};
    CHECK(runRefused() == RefusalReason::ClaimStoreUnavailable);
    CHECK(store.calls == Calls{"insert", "read"});
    CHECK(attempts == 0);
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, lost response and failed read, request is refused")
{
    store.insertResult = {ClaimWriteStatus::Unknown, {}};
    store.readResult = ClaimReadError::ReadFailed;
    CHECK(runRefused() == RefusalReason::ClaimStoreUnavailable);
    CHECK(attempts == 0);
}

TEST_CASE_FIXTURE(RequestClaimFixture, "duplicate, recorded response, gets it")
{
    store.insertResult = {ClaimWriteStatus::ConditionFailed, {}};
    store.readResult = StoredClaim{{ClaimId("other"), info.fingerprint, vm,
                                    RecordedResponse{201, "application/json", "{}"}},
                                   "tag-9"};
    const auto response = std::get<Response>(run());
    CHECK(response.status == 201);
    CHECK(response.headers.at(0).value == "application/json");
    CHECK(response.body == "{}");
    CHECK(attempts == 0);
    CHECK(store.calls == Calls{"insert", "read"});
}

TEST_CASE_FIXTURE(RequestClaimFixture, "duplicate, no recorded response, is unknown")
{
    store.insertResult = {ClaimWriteStatus::ConditionFailed, {}};
    store.readResult = StoredClaim{{ClaimId("other"), info.fingerprint, vm, std::nullopt}, "tag-9"};
    CHECK(runUnknown() == UnknownReason::AlreadyAccepted);
    CHECK(attempts == 0);
}

// Guards against a truncated response to a duplicate.
TEST_CASE_FIXTURE(RequestClaimFixture, "duplicate, response too large to be stored, is unknown")
{
    attemptOutcomes.emplace_back(Answered{{200, {}, std::string(maxRecordedBodySize + 1, 'x')}});
    CHECK(std::holds_alternative<Response>(run()));
    REQUIRE(store.recorded);
    CHECK(!store.recorded->body);
    store.insertResult = {ClaimWriteStatus::ConditionFailed, {}};
    store.readResult = StoredClaim{{ClaimId("other"), info.fingerprint, vm, store.recorded},
                                   "tag-9"};
    CHECK(runUnknown() == UnknownReason::AlreadyAccepted);
}

TEST_CASE_FIXTURE(RequestClaimFixture, "key, reused with another fingerprint, is refused")
{
    store.insertResult = {ClaimWriteStatus::ConditionFailed, {}};
    store.readResult = StoredClaim{{ClaimId("other"), ContentDigest("print-2"), vm, std::nullopt},
                                   "tag-9"};
    CHECK(runRefused() == RefusalReason::KeyReused);
    CHECK(attempts == 0);
}

// Guards against reporting "not run" although another request with the key may have run.
TEST_CASE_FIXTURE(RequestClaimFixture, "duplicate, unreadable row, is unknown")
{
    store.insertResult = {ClaimWriteStatus::ConditionFailed, {}};
    store.readResult = ClaimReadError::ReadFailed;
    CHECK(runUnknown() == UnknownReason::AlreadyAccepted);
    store.readResult = ClaimReadError::InvalidClaim;
    CHECK(runUnknown() == UnknownReason::AlreadyAccepted);
    CHECK(attempts == 0);
}

// Guards against sending a request after a pause while its claim was inserted.
TEST_CASE_FIXTURE(RequestClaimFixture, "claim, expired, is released without an attempt")
{
    store.insertTime = claimMaxAge + 1ms;
    CHECK(runRefused() == RefusalReason::ClaimExpired);
    CHECK(attempts == 0);
    CHECK(store.calls == Calls{"insert", "release tag-1"});
    CHECK(slotsCancelled == 1);
}

// Guards against checking the age before the first attempt only.
TEST_CASE_FIXTURE(RequestClaimFixture, "claim, expired between attempts, is released")
{
    queueTime = claimMaxAge + 1ms;
    attemptOutcomes.emplace_back(NotRun{});
    CHECK(runRefused() == RefusalReason::ClaimExpired);
    CHECK(attempts == 1);
    CHECK(store.calls == Calls{"insert", "release tag-1"});
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, deadline passed, is released without an attempt")
{
    info.deadline = TimePoint(1s);
    store.insertTime = 1s;
    CHECK(runRefused() == RefusalReason::DeadlineExpired);
    CHECK(attempts == 0);
    CHECK(store.calls == Calls{"insert", "release tag-1"});
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, attempts that did not run, is reused for retries")
{
    attemptOutcomes.emplace_back(NotRun{});
    attemptOutcomes.emplace_back(NotRun{RetryReason::Shed});
    CHECK(std::holds_alternative<Response>(run()));
    CHECK(attempts == 3);
    CHECK(store.calls == Calls{"insert", "record tag-1"});
}

TEST_CASE_FIXTURE(RequestClaimFixture, "claim, only attempts that did not run, is released")
{
    policy.retry.maxAttempts = 1;
    attemptOutcomes.emplace_back(NotRun{});
    CHECK(runRefused() == RefusalReason::TargetUnreachable);
    CHECK(store.calls == Calls{"insert", "release tag-1"});
}

// Guards against a second run: the row of a request that may have run must not be deleted.
TEST_CASE_FIXTURE(RequestClaimFixture, "claim, attempt that may have run, is not released")
{
    attemptOutcomes.emplace_back(Unknown{UnknownReason::ConnectionReset});
    CHECK(runUnknown() == UnknownReason::ConnectionReset);
    CHECK(attempts == 1);
    CHECK(store.calls == Calls{"insert"});
}

// Guards against reporting "not run" for a request whose first attempt timed out and may have run.
TEST_CASE_FIXTURE(RequestClaimFixture,
                  "executor, unknown attempt before a shed one, reports unknown")
{
    info.idempotent = true;
    attemptOutcomes = {Unknown{UnknownReason::ResponseTimeout}, NotRun{RetryReason::Shed},
                       NotRun{RetryReason::ConnectFailed}};
    CHECK(runUnknown() == UnknownReason::ResponseTimeout);
    CHECK(attempts == 3);
}

TEST_SUITE_END();
