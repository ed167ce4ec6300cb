#include "Process/Process.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Sapphireladder {

std::size_t AdmissionQueue::size() const
{
    return line(RequestClass::Urgent).size() + line(RequestClass::Deferrable).size();
}

std::size_t AdmissionQueue::reservedPlaces() const
{
    const auto places = static_cast<std::size_t>(
            std::ceil(m_policy.capacity * m_policy.deferrableShare));
    // At most half, so that a short queue still has room for urgent requests.
    return std::min<std::size_t>(places, m_policy.capacity / 2);
}

bool AdmissionQueue::push(PendingRequest &request)
{
    auto &urgent = line(RequestClass::Urgent);
    auto &deferrable = line(RequestClass::Deferrable);
    const auto requestClass = request.requestClass();
    if (requestClass == RequestClass::Urgent
        && urgent.size() + reservedPlaces() >= m_policy.capacity)
        return false;
    if (size() >= m_policy.capacity) {
        if (requestClass == RequestClass::Deferrable || deferrable.empty())
            return false;
        auto *displaced = deferrable.back();
        deferrable.pop_back();
        displaced->decide(RefusalReason::QueueFull);
    }
    line(requestClass).push_back(&request);
    return true;
}

RequestClass AdmissionQueue::nextClass() const
{
    if (line(RequestClass::Urgent).empty())
        return RequestClass::Deferrable;
    if (line(RequestClass::Deferrable).empty())
        return RequestClass::Urgent;
    // Adding up shares such as 0.1 can end just below 1.
    constexpr double roundingMargin = 1e-9;
    return m_deferrableCredit + m_policy.deferrableShare >= 1 - roundingMargin
                   ? RequestClass::Deferrable
                   : RequestClass::Urgent;
}

PendingRequest *AdmissionQueue::front()
{
    const auto &next = line(nextClass());
    return next.empty() ? nullptr : next.front();
}

void AdmissionQueue::grantFront()
{
    const auto granted = nextClass();
    assert(!line(granted).empty());
    const bool contended = !line(RequestClass::Urgent).empty()
                           && !line(RequestClass::Deferrable).empty();
    if (contended) {
        m_deferrableCredit += m_policy.deferrableShare;
        if (granted == RequestClass::Deferrable)
            m_deferrableCredit = std::max(0.0, m_deferrableCredit - 1);
    }
    line(granted).pop_front();
}

void AdmissionQueue::remove(const PendingRequest &request)
{
    auto &waiting = line(request.requestClass());
    const auto it = std::find(waiting.begin(), waiting.end(), &request);
    if (it != waiting.end())
        waiting.erase(it);
}

void AdmissionQueue::refuseAll(RefusalReason reason)
{
    for (auto &it : m_lines) {
        for (auto *request : it)
            request->decide(reason);
        it.clear();
    }
}

std::size_t AdmissionQueue::aheadOf(RequestClass requestClass) const
{
    return requestClass == RequestClass::Urgent ? line(RequestClass::Urgent).size() : size();
}

} // namespace Sapphireladder
