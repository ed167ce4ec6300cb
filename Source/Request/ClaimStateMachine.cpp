#include "Request/Request.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Sapphireladder {

namespace {

constexpr std::string_view contentTypeHeader = "Content-Type";

/** Compares header names, which are case-insensitive ASCII. */
bool isSameHeaderName(std::string_view a, std::string_view b)
{
    const auto lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
    };
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [&](char x, char y) { return lower(x) == lower(y); });
}

} // namespace

ClaimStateMachine::ClaimStateMachine(Claim claim, TimePoint start)
    : m_claim(std::move(claim))
    , m_start(start)
{}

ClaimAction ClaimStateMachine::action() const
{
    switch (m_state) {
    case ClaimState::Inserting:
        return ClaimAction::Insert;
    case ClaimState::ReadingBack:
    case ClaimState::ReadingExisting:
        return ClaimAction::Read;
    default:
        return ClaimAction::None;
    }
}

void ClaimStateMachine::insertCompleted(const ClaimWriteResult &write)
{
    assert(m_state == ClaimState::Inserting);
    using Handler = void (ClaimStateMachine::*)(const ClaimWriteResult &);
    static constexpr std::array<Handler, static_cast<std::size_t>(ClaimWriteStatus::Count)>
            handlers = {
                    &ClaimStateMachine::hold,
                    &ClaimStateMachine::readExisting,
                    &ClaimStateMachine::refuseAfterWrite,
                    &ClaimStateMachine::readBack,
            };
    (this->*handlers.at(static_cast<std::size_t>(write.status)))(write);
}

void ClaimStateMachine::readCompleted(const ClaimReadResult &read)
{
    assert(action() == ClaimAction::Read);
    if (const auto *stored = std::get_if<StoredClaim>(&read)) {
        if (stored->claim.id == m_claim.id) {
            m_tag = stored->tag;
            m_state = ClaimState::Held;
            return;
        }
        settle(outcomeForExistingClaim(stored->claim, m_claim.fingerprint));
        return;
    }
    using Handler = void (ClaimStateMachine::*)();
    using Handlers = std::array<Handler, static_cast<std::size_t>(ClaimReadError::Count)>;
    static constexpr Handlers afterLostInsert = {
            &ClaimStateMachine::refuse,
            &ClaimStateMachine::settleAsAlreadyAccepted,
            &ClaimStateMachine::refuse,
    };
    // The insert found a row of another request. If the row is gone now, it was released, which
    // proves that nothing ran. If it cannot be read, that request may have run.
    static constexpr Handlers afterExistingRow = {
            &ClaimStateMachine::refuse,
            &ClaimStateMachine::settleAsAlreadyAccepted,
            &ClaimStateMachine::settleAsAlreadyAccepted,
    };
    const auto &handlers = m_state == ClaimState::ReadingBack ? afterLostInsert : afterExistingRow;
    (this->*handlers.at(static_cast<std::size_t>(std::get<ClaimReadError>(read))))();
}

bool ClaimStateMachine::beginAttempt(TimePoint now)
{
    assert(m_state == ClaimState::Held);
    if (now - m_start > claimMaxAge)
        return false;
    m_state = ClaimState::Attempting;
    return true;
}

void ClaimStateMachine::attemptEnded(const AttemptResult &result)
{
    assert(m_state == ClaimState::Attempting);
    if (std::holds_alternative<Answered>(result.outcome))
        m_state = ClaimState::Answered;
    else if (std::holds_alternative<NotRun>(result.outcome))
        m_state = ClaimState::Held;
    else
        m_state = ClaimState::MayHaveRun;
}

void ClaimStateMachine::hold(const ClaimWriteResult &write)
{
    m_tag = write.tag;
    m_state = ClaimState::Held;
}

void ClaimStateMachine::readBack(const ClaimWriteResult &)
{
    m_state = ClaimState::ReadingBack;
}

void ClaimStateMachine::readExisting(const ClaimWriteResult &)
{
    m_state = ClaimState::ReadingExisting;
}

void ClaimStateMachine::refuseAfterWrite(const ClaimWriteResult &)
{
    refuse();
}

void ClaimStateMachine::refuse()
{
    settle(Refusal{RefusalReason::ClaimStoreUnavailable});
}

void ClaimStateMachine::settleAsAlreadyAccepted()
{
    settle(Unknown{UnknownReason::AlreadyAccepted});
}

void ClaimStateMachine::settle(RequestOutcome outcome)
{
    m_outcome = std::move(outcome);
    m_state = ClaimState::Settled;
}

RequestOutcome outcomeForExistingClaim(const Claim &existing, const ContentDigest &fingerprint)
{
    if (existing.fingerprint != fingerprint)
        return Refusal{RefusalReason::KeyReused};
    if (!existing.response || !existing.response->body)
        return Unknown{UnknownReason::AlreadyAccepted};
    Response response{existing.response->status, {}, *existing.response->body};
    if (!existing.response->contentType.empty())
        response.headers.push_back(
                {std::string(contentTypeHeader), existing.response->contentType});
    return response;
}

RecordedResponse recordedResponseOf(const Response &response)
{
    RecordedResponse record{response.status, {}, std::nullopt};
    for (const auto &it : response.headers) {
        if (isSameHeaderName(it.name, contentTypeHeader))
            record.contentType = it.value;
    }
    if (response.body.size() <= maxRecordedBodySize)
        record.body = response.body;
    return record;
}

} // namespace Sapphireladder
