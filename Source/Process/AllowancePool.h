#pragma once

#include "Version/Version.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>

namespace Sapphireladder {

/** The bound on the requests of a workspace, as far as it does not depend on the workspace. */
struct AllowancePolicy
{
    /** The bound holds in any window of this length. */
    Duration window = std::chrono::seconds(5);
    /** Tolerated excess, as a share of the requests in a window. */
    double excess = 0;
    /** Tolerated excess, as a number of requests in a window. */
    double slack = 0;

    friend bool operator==(const AllowancePolicy &, const AllowancePolicy &) = default;
};

/** Parameters of the token buckets that keep a workspace within its bound. */
struct AllowanceRate
{
    double tokensPerSecond = 0;
    /** Largest number of unused tokens. */
    double capacity = 0;

    /** How long after its grant a token may be used. */
    static constexpr Duration tokenLifetime = std::chrono::milliseconds(300);
    /** Assumed time from the use of a token until the request arrives at a target. */
    static constexpr Duration dispatchTime = std::chrono::milliseconds(200);

    /**
     * @return the rate and capacity with which the tokens of a window, including those that are
     * used or arrive late, do not exceed the bound.
     */
    static AllowanceRate of(const Workspace &workspace, const AllowancePolicy &policy);
    /** @return the largest number of requests of the workspace that targets may get in a window. */
    static double bound(const Workspace &workspace, const AllowancePolicy &policy);

    friend bool operator==(const AllowanceRate &, const AllowanceRate &) = default;
};

/** Names a part of the allowances: one of the parts that a start of a VM's process owns. */
struct AllowanceShareKey
{
    /** Random number of the owner's process. */
    std::uint64_t owner = 0;
    /** Which of the owner's shares. */
    unsigned slot = 0;

    friend auto operator<=>(const AllowanceShareKey &,
                            const AllowanceShareKey &) = default; // NOLINT(modernize-use-nullptr)
};

/**
 * Token buckets of all workspaces, which fill at the sum of the shares that the pool holds. The
 * tokens in a bucket never exceed that sum times the bucket's capacity, so that a share which
 * expires here and starts anew in another pool takes its tokens from this one.
 */
class AllowancePool
{
public:
    /** Sets the workspaces. Buckets of others are discarded; new ones start empty. */
    void setWorkspaces(std::span<const Workspace> workspaces, const AllowancePolicy &policy,
                       TimePoint now);
    /** Adds or replaces a share. @param share of 1 @param expiry when it ends by itself */
    void setShare(const AllowanceShareKey &key, double share, TimePoint expiry, TimePoint now);
    void removeShare(const AllowanceShareKey &key, TimePoint now);
    /** @return the sum of the unexpired shares, at most 1. */
    double liveShare(TimePoint now);

    /** Takes tokens. @return how many were taken, at most count */
    unsigned take(const std::string &workspace, unsigned count, TimePoint now);
    /** @return the time until a workspace has as many tokens, at most maxWait. */
    Duration timeToTokens(const std::string &workspace, double count, TimePoint now);

    /** Longest wait that is stated. */
    static constexpr Duration maxWait = std::chrono::seconds(5);

private:
    struct Share
    {
        double share = 0;
        TimePoint expiry{};
    };
    struct Bucket
    {
        AllowanceRate rate;
        double tokens = 0;
        /** Value of m_shareSeconds up to which the bucket is filled. */
        double filledTo = 0;
    };

    /** Accounts for the time since the last call, in which shares may have expired. */
    void advance(TimePoint now);
    void fill(Bucket &bucket) const;
    /** Fills all buckets; called before and after a change of the shares. */
    void fillAll();
    void updateLiveShare();
    Bucket *findBucket(const std::string &workspace);

    std::map<std::string, Bucket, std::less<>> m_buckets;
    std::map<AllowanceShareKey, Share> m_shares;
    double m_liveShare = 0;
    /** Integral of the live share over time. */
    double m_shareSeconds = 0;
    TimePoint m_advancedTo{};
    /** When the next share expires. */
    TimePoint m_nextExpiry = TimePoint::max();
};

} // namespace Sapphireladder
