#pragma once

#include "Request/AttemptResult.h"
#include "Request/Claim.h"

namespace Sapphireladder {

/**
 * Largest age of a claim at which an attempt may start. Covers an insert whose response was lost
 * and the read after it, with the default store timeout of 1 s each.
 */
constexpr Duration claimMaxAge = std::chrono::seconds(2);

/** State of the claim of one request. */
enum class ClaimState {
    /** Waiting for the result of the insert. */
    Inserting,
    /** The response to the insert was lost; the row is read to see whether it was written. */
    ReadingBack,
    /** The insert found a row of another request; it is read for the outcome under this key. */
    ReadingExisting,
    /** The row belongs to this request, and no target has run the request. */
    Held,
    /** An attempt is in progress. */
    Attempting,
    /** A target may have run the request. The row is never deleted. */
    MayHaveRun,
    /** A target responded. The response may be recorded; the row is never deleted. */
    Answered,
    /** Final: the caller gets outcome(), and the request is never sent. */
    Settled,
};

/** The next store operation. */
enum class ClaimAction {
    None,
    Insert,
    Read,
};

/**
 * State machine for the claim of one request, which gives at-most-once execution per idempotency
 * key. It does no I/O: its owner performs action() and reports the result.
 *
 * Two invariants hold under any order of lost responses, delayed writes, pauses and killed
 * processes:
 *
 * - At most one request runs per key. An attempt requires the state Held, which requires proof that
 *   the row exists with this request's random id. The id is inserted only once, on condition that
 *   no row exists, and the row of a request that may have run is never deleted. No request takes
 *   over the claim of another, so a pause of any length does no harm: a late attempt is still the
 *   only one.
 * - "Not run" is reported only if no attempt can follow, and none was made or none of them ran the
 *   request. It refers to this request alone. Once a row of another request was seen, that request
 *   may have run, and the outcome is "already accepted".
 *
 * If the response to an insert was lost and the read after it finds no row, the insert may still
 * take effect. The request is refused as not run, which stays true since a settled machine starts
 * no attempt. If the insert does take effect, its row blocks the key permanently: duplicates get
 * "already accepted" with an unknown outcome although nothing ran. The key is lost, but nothing
 * runs twice. The alternatives are worse. An attempt without a row would let a duplicate run as
 * well. A second insert with the same id could be followed by a release and then by the first
 * insert, which also loses the key and adds writes to a store that is already failing.
 */
class ClaimStateMachine
{
public:
    /**
     * @param claim this request's claim, with an id that was never used before
     * @param start time before the insert is sent, from which the claim's age is counted
     */
    ClaimStateMachine(Claim claim, TimePoint start);

    ClaimState state() const { return m_state; }
    ClaimAction action() const;
    const Claim &claim() const { return m_claim; }
    /** @return entity tag of this request's row; set from Held on. */
    std::string_view tag() const { return m_tag; }
    /** @return the outcome for the caller; valid in Settled. */
    const RequestOutcome &outcome() const { return m_outcome; }

    void insertCompleted(const ClaimWriteResult &write);
    void readCompleted(const ClaimReadResult &read);

    /**
     * Called in Held, immediately before an attempt.
     * @return whether the attempt may start. If not, the claim has expired and is to be released.
     */
    bool beginAttempt(TimePoint now);
    void attemptEnded(const AttemptResult &result);

    /** @return whether the row may be deleted, since no target has run the request. */
    bool canRelease() const { return m_state == ClaimState::Held && !m_tag.empty(); }
    /** @return whether the response may be written into the row. */
    bool canRecord() const { return m_state == ClaimState::Answered && !m_tag.empty(); }

private:
    void hold(const ClaimWriteResult &write);
    void readBack(const ClaimWriteResult &write);
    void readExisting(const ClaimWriteResult &write);
    void refuseAfterWrite(const ClaimWriteResult &write);

    void refuse();
    void settleAsAlreadyAccepted();
    void settle(RequestOutcome outcome);

    Claim m_claim;
    TimePoint m_start;
    ClaimState m_state = ClaimState::Inserting;
    std::string m_tag;
    RequestOutcome m_outcome = Refusal{RefusalReason::ClaimStoreUnavailable};
};

/**
 * @param existing claim of another request with the same key
 * @param fingerprint this request's fingerprint
 * @return the outcome of this request.
 */
RequestOutcome outcomeForExistingClaim(const Claim &existing, const ContentDigest &fingerprint);

/** @return the part of the response that is stored for duplicates. */
RecordedResponse recordedResponseOf(const Response &response);

} // namespace Sapphireladder
