#include "Request/Request.h"

#include <algorithm>

namespace Sapphireladder {

WindowedRetryBudget::WindowedRetryBudget(const RetryBudgetPolicy &policy, const Clock &clock)
    : m_policy(policy)
    , m_clock(clock)
{}

void WindowedRetryBudget::recordFirstAttempt()
{
    ++currentBucket().requests;
}

bool WindowedRetryBudget::takeRetry()
{
    if (availableRetries() < 1.0)
        return false;
    ++currentBucket().retries;
    return true;
}

double WindowedRetryBudget::availableRetries() const
{
    const auto [limit, retries] = usage();
    return limit - retries;
}

bool WindowedRetryBudget::hasSpareRetry(double reservedShare) const
{
    const auto [limit, retries] = usage();
    return retries + 1.0 <= limit * (1.0 - reservedShare);
}

WindowedRetryBudget::Usage WindowedRetryBudget::usage() const
{
    const auto now = currentBucketIndex();
    double requests = 0;
    double retries = 0;
    for (const auto &it : m_buckets) {
        const auto age = now - it.index;
        if (it.index < 0 || age > static_cast<std::int64_t>(windowBucketCount))
            continue;
        retries += it.retries;
        if (age < static_cast<std::int64_t>(windowBucketCount))
            requests += it.requests;
    }
    const double slackShare = m_policy.slack / std::max(1U, m_policy.fleetSize);
    return {usableShare * (m_policy.ratio * requests + slackShare), retries};
}

std::int64_t WindowedRetryBudget::currentBucketIndex() const
{
    const auto bucketLength = m_policy.window / static_cast<std::int64_t>(windowBucketCount);
    return m_clock.now().time_since_epoch() / bucketLength;
}

WindowedRetryBudget::Bucket &WindowedRetryBudget::currentBucket()
{
    const auto now = currentBucketIndex();
    auto &bucket = m_buckets[static_cast<std::size_t>(now) % bucketCount];
    if (bucket.index != now)
        bucket = {now, 0, 0};
    return bucket;
}

} // namespace Sapphireladder
