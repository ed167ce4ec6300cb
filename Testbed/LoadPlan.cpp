#include "Testbed/Testbed.h"

#include <cmath>

namespace Sapphireladder::Testbed {

LoadPlan::LoadPlan(const LoadOptions &options, TimePoint start)
    : m_options(options)
    , m_end(start + options.duration)
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
    if (m_sent >= m_options.count)
        return std::nullopt;
    PlannedRequest request;
    if (m_duplicate) {
        request = std::move(*m_duplicate);
        m_duplicate.reset();
    } else {
        request.start = nextStart(now);
        request.method = drawMethod();
        request.endpoint = m_random.below(m_options.endpoints.size());
        request.deferrable = m_random.unit() < m_options.deferrableShare;
    }
    if (request.start >= m_end)
        return std::nullopt;
    request.id = m_runId + "-" + std::to_string(m_sent++);
    if (request.method == "POST" && request.key.empty()) {
        request.key = "key-" + request.id;
        if (m_random.unit() < m_options.duplicateShare) {
            m_duplicate = request;
            m_duplicate->endpoint = (request.endpoint + 1) % m_options.endpoints.size();
        }
    }
    return request;
}

} // namespace Sapphireladder::Testbed
