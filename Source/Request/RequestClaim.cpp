#include "Request/Request.h"

namespace Sapphireladder {

namespace {

ClaimKey keyOf(const RequestInfo &info)
{
    return {info.service.view(), info.key->view()};
}

} // namespace

RequestClaim::RequestClaim(const ClaimDependencies *dependencies, const RequestInfo &info,
                           const Clock &clock)
    : m_dependencies(dependencies)
    , m_info(info)
    , m_clock(clock)
    , m_isNeeded(!info.idempotent && info.key)
{}

std::optional<RequestOutcome> RequestClaim::beginAttempt()
{
    if (!m_isNeeded)
        return std::nullopt;
    if (!m_dependencies)
        return Refusal{RefusalReason::ClaimStoreUnavailable};
    if (!m_machine)
        acquire();
    if (m_machine->state() == ClaimState::Settled)
        return m_machine->outcome();
    // Reads the clock once for both checks. Nothing that may block comes between them and the
    // attempt. If the process is suspended in between, the request is sent late, which is safe: no
    // other request can obtain this key.
    const auto now = m_clock.now();
    if (now >= m_info.deadline)
        return Refusal{RefusalReason::DeadlineExpired};
    if (!m_machine->beginAttempt(now))
        return Refusal{RefusalReason::ClaimExpired};
    return std::nullopt;
}

void RequestClaim::attemptEnded(const AttemptResult &result)
{
    if (m_machine)
        m_machine->attemptEnded(result);
}

void RequestClaim::settle(const RequestOutcome &outcome)
{
    if (!m_machine)
        return;
    const auto key = keyOf(m_info);
    if (m_machine->canRelease()) {
        m_dependencies->store.release(key, m_machine->tag());
        return;
    }
    const auto *response = std::get_if<Response>(&outcome);
    if (response && m_machine->canRecord()) {
        auto claim = m_machine->claim();
        claim.response = recordedResponseOf(*response);
        m_dependencies->store.record(key, claim, m_machine->tag());
    }
}

void RequestClaim::acquire()
{
    const auto start = m_clock.now();
    m_machine.emplace(Claim{ClaimId(m_dependencies->random.hexDigits()), m_info.fingerprint,
                            m_dependencies->vm, std::nullopt},
                      start);
    const auto key = keyOf(m_info);
    while (m_machine->action() != ClaimAction::None) {
        if (m_machine->action() == ClaimAction::Insert)
            m_machine->insertCompleted(m_dependencies->store.insert(key, m_machine->claim()));
        else
            m_machine->readCompleted(m_dependencies->store.read(key));
    }
}

} // namespace Sapphireladder
