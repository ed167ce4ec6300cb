#pragma once

#include "Request/AttemptResult.h"
#include "Request/Claim.h"

namespace Sapphireladder {

/**
 * Age at which a claim no longer allows an attempt. It covers a lost insert and its read-back with
 * the default store timeout of 1 s each.
 */
constexpr Duration claimMaxAge = std::chrono::seconds(2);

/** Where the claim of one request stands. */
enum class ClaimState {
    /** The insert's end is awaited. */
    Inserting,
    /** The insert's answer was lost; the row is read to find out. */
    ReadingBack,
    /** The insert found a row; it is read for the outcome of the key. */
    ReadingExisting,
    /** The row is this request's own, and nothing was run. */
    Held,
    /** An attempt is under way. */
    Attempting,
    /** A target may have run the request. The row stays for good. */
    MayHaveRun,
    /** A target answered. The answer may be recorded; the row stays for good. */
    Answered,
    /** The request is told verdict(), and is never sent. */
    Settled,
};

/** What the holder asks of the store next. */
enum class ClaimAction {
    None,
    Insert,
    Read,
};

/**
 * Decides about the claim of one request. It does no I/O: the caller carries out action() and
 * reports how it ended.
 *
 * The machine keeps two rules against every order of lost answers, delayed writes, pauses and
 * kills:
 *
 * - At most one run per key. An attempt needs Held, and Held needs proof that the row exists with
 *   this request's random id. The id is inserted only once, on condition that no row exists, and a
 *   row whose request may have run is never deleted. A claim is never taken over, so it does not
 *   matter how long its holder pauses: a late attempt is still the only one.
 * - "Not run" is told only in a state from which no attempt follows and in which none was made, or
 *   in which every attempt surely did not run. It speaks of this request. Once a row of another
 *   request was seen, the key may have run, and the verdict is "already accepted".
 *
 * The hard case is an insert whose answer was lost and whose read-back shows no row: the insert may
 * still land. The request is refused as not run. That is true whatever happens to the insert, since
 * a settled machine never attempts. If it lands, its row blocks the key for good, and repeats are
 * told "already accepted, outcome unknown" although nothing ran: the key is lost, but nothing runs
 * twice. The other choices are worse. Attempting without a row lets a repeat run as well. A second
 * insert with the same id could be followed by a release and then by the first insert, so that it
 * would lose keys too, after more writes to a store that is already in trouble.
 */
class ClaimMachine
{
public:
    /**
     * @param claim this request's claim, with an id that was never used
     * @param start time before the insert is sent; the claim's age counts from here
     */
    ClaimMachine(Claim claim, TimePoint start);

    ClaimState state() const { return m_state; }
    ClaimAction action() const;
    const Claim &claim() const { return m_claim; }
    /** @return tag of this request's own row; meaningful from Held on. */
    std::string_view tag() const { return m_tag; }
    /** @return what the caller is told in Settled. */
    const RequestOutcome &verdict() const { return m_verdict; }

    void insertEnded(const ClaimWrite &write);
    void readEnded(const ClaimRead &read);

    /**
     * Asks in Held for an attempt, just before it starts.
     * @return whether it may start. If not, the claim is too old, and only a release is left.
     */
    bool beginAttempt(TimePoint now);
    void attemptEnded(const AttemptResult &result);

    /** @return whether the holder knows that nothing ran and may delete its row. */
    bool mayRelease() const { return m_state == ClaimState::Held && !m_tag.empty(); }
    /** @return whether the answer may be written into the row. */
    bool mayRecord() const { return m_state == ClaimState::Answered && !m_tag.empty(); }

private:
    void hold(const ClaimWrite &write);
    void readBack(const ClaimWrite &write);
    void readExisting(const ClaimWrite &write);
    void refuseAfterWrite(const ClaimWrite &write);

    void refuse();
    void settleAsAccepted();
    void settle(RequestOutcome verdict);

    Claim m_claim;
    TimePoint m_start;
    ClaimState m_state = ClaimState::Inserting;
    std::string m_tag;
    RequestOutcome m_verdict = Refusal{RefusalReason::ClaimStoreUnavailable};
};

/**
 * @param existing claim of another request with the same key
 * @param fingerprint this request's fingerprint
 * @return what this request is told.
 */
RequestOutcome verdictOnExisting(const Claim &existing, const ContentDigest &fingerprint);

/** @return what is kept of the answer for repeats. */
RecordedAnswer recordOf(const Answer &answer);

} // namespace Sapphireladder
