#pragma once

#include "Request/Request.h"

#include <optional>
#include <span>
#include <variant>

namespace Sapphireladder {

/** A slot, or the reason for the refusal. */
using AdmissionResult = std::variant<TargetLease, RefusalReason>;

/** A request that awaits admission. Lives on the stack of the thread that runs the request. */
class PendingRequest
{
public:
    /** The arguments must outlive the object. */
    PendingRequest(const RequestInfo &info, std::span<const TargetId> tried)
        : m_info(info)
        , m_tried(tried)
    {}
    virtual ~PendingRequest() = default;
    PendingRequest(const PendingRequest &) = delete;
    PendingRequest &operator=(const PendingRequest &) = delete;

    RequestClass requestClass() const { return m_info.requestClass; }
    TimePoint deadline() const { return m_info.deadline; }
    /** @return targets at which the request has already failed. */
    std::span<const TargetId> tried() const { return m_tried; }
    /** @return the decision, or nothing while the request is queued. */
    const std::optional<AdmissionResult> &decision() const { return m_decision; }

    /** Sets the decision. Called once. */
    void decide(AdmissionResult result)
    {
        m_decision = std::move(result);
        onDecided();
    }

private:
    /** Called after the decision was set, to wake a waiting thread. */
    virtual void onDecided() {}

    const RequestInfo &m_info;
    std::span<const TargetId> m_tried;
    std::optional<AdmissionResult> m_decision;
};

} // namespace Sapphireladder
