#pragma once

#include "Request/Request.h"

#include <optional>
#include <span>
#include <variant>

namespace Sapphireladder {

/** A slot, or why there is none. */
using AdmissionResult = std::variant<TargetLease, RefusalReason>;

/** A request at the gate. Lives on the stack of the thread that runs the request. */
class PendingRequest
{
public:
    /** @param info and @param tried are valid as long as the object. */
    PendingRequest(const RequestInfo &info, std::span<const TargetId> tried)
        : m_info(info)
        , m_tried(tried)
    {}
    virtual ~PendingRequest() = default;
    PendingRequest(const PendingRequest &) = delete;
    PendingRequest &operator=(const PendingRequest &) = delete;

    RequestClass requestClass() const { return m_info.requestClass; }
    TimePoint deadline() const { return m_info.deadline; }
    /** @return targets that already failed the request. */
    std::span<const TargetId> tried() const { return m_tried; }
    /** @return the decision, or nothing while the request waits. */
    const std::optional<AdmissionResult> &decision() const { return m_decision; }

    /** Ends the wait. Called once. */
    void decide(AdmissionResult result)
    {
        m_decision = std::move(result);
        onDecided();
    }

private:
    /** Wakes whoever waits for the decision. */
    virtual void onDecided() {}

    const RequestInfo &m_info;
    std::span<const TargetId> m_tried;
    std::optional<AdmissionResult> m_decision;
};

} // namespace Sapphireladder
