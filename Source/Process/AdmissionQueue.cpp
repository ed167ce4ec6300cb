#include "Process/Process.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Sapphireladder {

std::size_t AdmissionQueue::size() const
{
    return queueOf(RequestClass::Urgent).size() + queueOf(RequestClass::Deferrable).size();
}

std::size_t AdmissionQueue::reservedCapacity() const
{
    const auto reserved = static_cast<std::size_t>(
            std::ceil(m_policy.capacity * m_policy.deferrableShare));
    // At most half, so that a short queue still has room for urgent requests.
    return std::min<std::size_t>(reserved, m_policy.capacity / 2);
}

bool AdmissionQueue::push(PendingRequest &request)
{
    auto &urgent = queueOf(RequestClass::Urgent);
    auto &deferrable = queueOf(RequestClass::Deferrable);
    const auto requestClass = request.requestClass();
    if (requestClass == RequestClass::Urgent
        && urgent.size() + reservedCapacity() >= m_policy.capacity)
        return false;
    if (size() >= m_policy.capacity) {
        if (requestClass == RequestClass::Deferrable || deferrable.empty())
            return false;
        auto *evicted = deferrable.back();
        deferrable.pop_back();
        evicted->decide(RefusalReason::QueueFull);
    }
    queueOf(requestClass).push_back(&request);
    return true;
}

RequestClass AdmissionQueue::nextClass() const
{
    if (queueOf(RequestClass::Urgent).empty())
        return RequestClass::Deferrable;
    if (queueOf(RequestClass::Deferrable).empty())
        return RequestClass::Urgent;
    // Adding up shares such as 0.1 can end just below 1.
    constexpr double roundingTolerance = 1e-9;
    return m_deferrableCredit + m_policy.deferrableShare >= 1 - roundingTolerance
                   ? RequestClass::Deferrable
                   : RequestClass::Urgent;
}

PendingRequest *AdmissionQueue::front()
{
    const auto &next = queueOf(nextClass());
    return next.empty() ? nullptr : next.front();
}

void AdmissionQueue::popFront()
{
    const auto granted = nextClass();
    assert(!queueOf(granted).empty());
    const bool contended = !queueOf(RequestClass::Urgent).empty()
                           && !queueOf(RequestClass::Deferrable).empty();
    if (contended) {
        m_deferrableCredit += m_policy.deferrableShare;
        if (granted == RequestClass::Deferrable)
            m_deferrableCredit = std::max(0.0, m_deferrableCredit - 1);
    }
    queueOf(granted).pop_front();
}

void AdmissionQueue::remove(const PendingRequest &request)
{
    auto &queue = queueOf(request.requestClass());
    const auto it = std::find(queue.begin(), queue.end(), &request);
    if (it != queue.end())
        queue.erase(it);
}

void AdmissionQueue::refuseAll(RefusalReason reason)
{
    for (auto &it : m_queues) {
        for (auto *request : it)
            request->decide(reason);
        it.clear();
    }
}

std::size_t AdmissionQueue::queuedAhead(RequestClass requestClass) const
{
    return requestClass == RequestClass::Urgent ? queueOf(RequestClass::Urgent).size() : size();
}

} // namespace Sapphireladder
