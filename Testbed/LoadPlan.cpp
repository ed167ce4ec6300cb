#include "Testbed/Testbed.h"

#include <cmath>

namespace Sapphireladder::Testbed {

LoadPlan::LoadPlan(const LoadOptions &options, TimePoint start)
    : m_options(options)
    , m_endTime(start + options.duration)
    , m_random(options.seed)
    , m_nextStart(start)
{}

TimePoint LoadPlan::nextStart(TimePoint now)
{
    if (m_options.callers > 0)
        return now;
    // Exponentially distributed intervals, as with many independent callers.
    m_nextStart += fromSeconds(-std::log(1 - m_random.unit()) / m_options.rate);
    return m_nextStart;
}

std::string LoadPlan::drawMethod()
{
    const double n = m_random.unit();
    if (n < m_options.postShare)
        return "POST";
    return n < m_options.postShare + m_options.putShare ? "PUT" : "GET";
}

std::optional<PlannedRequest> LoadPlan::next(TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    if (m_plannedCount >= m_options.count)
        return std::nullopt;
    PlannedRequest request;
    if (m_pendingDuplicate) {
        request = std::move(*m_pendingDuplicate);
        m_pendingDuplicate.reset();
    } else {
        request.start = nextStart(now);
        request.method = drawMethod();
        request.endpointIndex = m_random.below(m_options.endpoints.size());
        request.deferrable = m_random.unit() < m_options.deferrableShare;
    }
    if (request.start >= m_endTime)
        return std::nullopt;
    request.id = m_requestIdPrefix + "-" + std::to_string(m_plannedCount++);
    if (request.method == "POST" && request.key.empty()) {
        request.key = "key-" + request.id;
        if (m_random.unit() < m_options.duplicateShare) {
            m_pendingDuplicate = request;
            m_pendingDuplicate->endpointIndex = (request.endpointIndex + 1)
                                                % m_options.endpoints.size();
        }
    }
    return request;
}

} // namespace Sapphireladder::Testbed
