#pragma once

#include "Request/RequestPriority.h"
#include "Request/TargetStats.h"

#include <map>
#include <optional>
#include <span>

namespace Sapphireladder {

/** How a service's requests are admitted in an overload. */
struct OverloadPolicy
{
    /** Share of the requests of each priority that is admitted in any overload. Zero turns the rule
     * off. */
    double minShare = 0;
    /** Mean share of busy slots above which the admitted share falls, and below which it rises. */
    double highOccupancy = 0.9;
    double lowOccupancy = 0.8;
    /** Time between two changes of the admitted share. Targets end a part of their work in it. */
    Duration period = std::chrono::milliseconds(250);
    /** Factor of the admitted share in a period with high occupancy. */
    double decrease = 0.85;
    /** Added to the admitted share in a period with low occupancy. */
    double increase = 0.05;
    /** Time after which a request counts half in the demand. */
    Duration demandHalfLife = std::chrono::seconds(2);
};

/**
 * @return mean share of busy slots over the targets with a report of at most a second, or nothing
 * if there are too few.
 */
std::optional<double> meanOccupancy(std::span<const TargetStats *const> targets, TimePoint now);

/** The request is refused because of an overload. */
struct OverloadRefusal
{
    /** When requests of this priority are expected to be admitted again. */
    Duration retryAfter{};
};

/**
 * Decides which requests of one service are admitted while its targets are full. The share of the
 * demand that is admitted follows the occupancy of the targets, and is given to the most urgent
 * requests first, over all routes and workspaces; each priority keeps a minimum share. Reports of
 * targets show the load of all VMs, so that the VMs act alike without messages. Used by one thread.
 */
class OverloadRule
{
public:
    explicit OverloadRule(const OverloadPolicy &policy)
        : m_policy(policy)
    {}

    void setPolicy(const OverloadPolicy &policy) { m_policy = policy; }
    /**
     * Decides about a request that has arrived, and counts it in the demand.
     * @param occupancy mean share of busy slots by recent reports, at most 1; nothing if there are
     * too few
     * @param unit uniformly distributed random number in [0, 1)
     * @return nothing if the request is admitted.
     */
    std::optional<OverloadRefusal> decide(const RequestPriority &priority,
                                          std::optional<double> occupancy, double unit,
                                          TimePoint now);
    /** @return share of the demand that is admitted; 1 without an overload. */
    double admittedShare() const { return m_admittedShare; }

private:
    /** Requests of one priority, each weighted by its age. */
    struct Demand
    {
        double weight = 0;
        TimePoint updatedAt{};
    };

    void adapt(std::optional<double> occupancy, TimePoint now);
    void record(const RequestPriority &priority, TimePoint now);
    double weightOf(const Demand &demand, TimePoint now) const;

    OverloadPolicy m_policy;
    double m_admittedShare = 1.0;
    TimePoint m_adaptedAt{};
    /** Sum and number of the occupancies that the requests of the current period met. */
    double m_occupancySum = 0;
    unsigned m_occupancyCount = 0;
    std::map<RequestPriority, Demand> m_demands;
};

} // namespace Sapphireladder
