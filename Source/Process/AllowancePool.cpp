#include "Process/Process.h"

#include <algorithm>
#include <cmath>

namespace Sapphireladder {

namespace {

/** Part of the tolerated number of requests that is added to the bursts. The rest is for requests
 * that wait for a target longer than the dispatch time. */
constexpr double burstSlackShare = 0.5;
/** Capacity with which two collectors, each with half of the shares, can hold a whole token. */
constexpr double minCapacity = 2;
/** Largest part of the bound that the capacity may take, where a window has few requests. */
constexpr double maxCapacityShare = 0.5;
/** Sums of shares differ from whole numbers by rounding, which must not cost a token. */
constexpr double roundingError = 1e-9;

} // namespace

double AllowanceRate::bound(const Workspace &workspace, const AllowancePolicy &policy)
{
    const auto requests = workspace.requestsPerSecond * toSeconds(policy.window) + workspace.burst;
    return requests * (1 + policy.excess) + policy.slack;
}

AllowanceRate AllowanceRate::of(const Workspace &workspace, const AllowancePolicy &policy)
{
    const auto tokens = bound(workspace, policy);
    const auto wanted = std::max(workspace.burst + policy.slack * burstSlackShare, minCapacity);
    const auto capacity = std::min(wanted, std::max(tokens * maxCapacityShare, workspace.burst));
    const auto seconds = toSeconds(policy.window + tokenLifetime + dispatchTime);
    return {std::min(workspace.requestsPerSecond, (tokens - capacity) / seconds), capacity};
}

Endpoint allowanceEndpoint(const Endpoint &relayEndpoint)
{
    return {relayEndpoint.host, static_cast<std::uint16_t>(relayEndpoint.port + 1)};
}

AllowancePolicy allowancePolicyOf(const GatewaySettings &settings)
{
    return {settings.allowanceWindow, settings.allowanceExcess, settings.allowanceSlack};
}

void AllowancePool::setWorkspaces(std::span<const Workspace> workspaces,
                                  const AllowancePolicy &policy, TimePoint now)
{
    advance(now);
    fillAll();
    std::map<std::string, Bucket, std::less<>> buckets;
    for (const auto &it : workspaces) {
        if (!it.isLimited())
            continue;
        auto &bucket = buckets[it.name];
        bucket.filledTo = m_shareSeconds;
        if (const auto known = m_buckets.find(it.name); known != m_buckets.end())
            bucket = known->second;
        bucket.rate = AllowanceRate::of(it, policy);
    }
    m_buckets = std::move(buckets);
    fillAll();
}

void AllowancePool::setShare(const AllowanceShareKey &key, double share, TimePoint expiry,
                             TimePoint now)
{
    advance(now);
    if (expiry <= now)
        return;
    const auto known = m_shares.find(key);
    if (known != m_shares.end() && known->second.share == share) {
        // The common case: a share is prolonged.
        known->second.expiry = expiry;
        m_nextExpiry = std::min(m_nextExpiry, expiry);
        return;
    }
    fillAll();
    m_shares[key] = {share, expiry};
    updateLiveShare();
    fillAll();
}

void AllowancePool::removeShare(const AllowanceShareKey &key, TimePoint now)
{
    advance(now);
    if (!m_shares.contains(key))
        return;
    fillAll();
    m_shares.erase(key);
    updateLiveShare();
    fillAll();
}

double AllowancePool::liveShare(TimePoint now)
{
    advance(now);
    return m_liveShare;
}

void AllowancePool::advance(TimePoint now)
{
    bool hasExpired = false;
    // The process may have been suspended for long, so that many shares ended one after another.
    while (now >= m_nextExpiry) {
        m_shareSeconds += m_liveShare
                          * toSeconds(std::max(m_nextExpiry - m_advancedTo, Duration::zero()));
        m_advancedTo = std::max(m_advancedTo, m_nextExpiry);
        // Shares that were prolonged since have a later expiry.
        std::erase_if(m_shares,
                      [this](const auto &it) { return it.second.expiry <= m_nextExpiry; });
        updateLiveShare();
        hasExpired = true;
    }
    if (now > m_advancedTo) {
        m_shareSeconds += m_liveShare * toSeconds(now - m_advancedTo);
        m_advancedTo = now;
    }
    if (hasExpired)
        fillAll();
}

void AllowancePool::updateLiveShare()
{
    m_liveShare = 0;
    m_nextExpiry = TimePoint::max();
    for (const auto &[key, share] : m_shares) {
        m_liveShare += share.share;
        m_nextExpiry = std::min(m_nextExpiry, share.expiry);
    }
    m_liveShare = std::min(m_liveShare, 1.0);
}

void AllowancePool::fill(Bucket &bucket) const
{
    bucket.tokens += bucket.rate.tokensPerSecond * (m_shareSeconds - bucket.filledTo);
    bucket.tokens = std::min(bucket.tokens, bucket.rate.capacity * m_liveShare);
    bucket.filledTo = m_shareSeconds;
}

void AllowancePool::fillAll()
{
    for (auto &[name, bucket] : m_buckets)
        fill(bucket);
}

AllowancePool::Bucket *AllowancePool::findBucket(const std::string &workspace)
{
    const auto it = m_buckets.find(workspace);
    if (it == m_buckets.end())
        return nullptr;
    fill(it->second);
    return &it->second;
}

unsigned AllowancePool::take(const std::string &workspace, unsigned count, TimePoint now)
{
    advance(now);
    auto *bucket = findBucket(workspace);
    if (!bucket)
        return 0;
    const auto whole = std::floor(bucket->tokens + roundingError);
    const auto taken = std::min(static_cast<double>(count), std::max(whole, 0.0));
    bucket->tokens -= taken;
    return static_cast<unsigned>(taken);
}

Duration AllowancePool::timeToTokens(const std::string &workspace, double count, TimePoint now)
{
    advance(now);
    const auto *bucket = findBucket(workspace);
    if (!bucket)
        return maxWait;
    const auto missing = count - bucket->tokens;
    const auto rate = bucket->rate.tokensPerSecond * m_liveShare;
    if (missing <= 0)
        return Duration::zero();
    if (rate * toSeconds(maxWait) <= missing)
        return maxWait;
    return fromSeconds(missing / rate);
}

} // namespace Sapphireladder
