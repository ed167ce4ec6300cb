#pragma once

#include "Process/AllowanceMessages.h"

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Sapphireladder {

/**
 * The part of a workspace's allowance that a VM owns: one divided by an upper estimate of the
 * number of VMs. The sum over all VMs is at most 1 whatever each of them knows.
 */
class AllowanceShareEstimate
{
public:
    /** How long a smaller fleet must have been reported before shares grow. */
    static constexpr Duration shrinkDelay = std::chrono::seconds(5);
    /** Assumed until the size is known. */
    static constexpr unsigned assumedFleetSize = 1000;

    /**
     * @param isCounted whether the fleet was counted before this VM started, so that the first size
     * is not that of a part of the fleet
     */
    explicit AllowanceShareEstimate(bool isCounted = false)
        : m_isFirstComplete(isCounted)
    {}

    /** @param vms upper estimate of the number of VMs */
    void setFleetSize(unsigned vms, TimePoint now);
    /** @return the share of this VM. */
    double share(TimePoint now);

private:
    /** Applies a smaller size if it has been reported for long enough. */
    void update(TimePoint now);

    /** The next size that is reported applies at once, even if it is smaller. */
    bool m_isFirstComplete;
    unsigned m_fleetSize = assumedFleetSize;
    /** The largest size since m_smallerSince, which is less than the one in use. */
    unsigned m_smallerFleetSize = 0;
    std::optional<TimePoint> m_smallerSince;
};

/**
 * Delegates one share of this VM to a collector, and finds another one when it does not answer.
 * While the share may be in use at a collector, neither this VM nor another collector gets it.
 */
class AllowanceDelegation
{
public:
    /** Interval between messages to the collector in use. */
    static constexpr Duration renewInterval = std::chrono::milliseconds(400);
    /** Time without an answer after which another collector is looked for. */
    static constexpr Duration silenceLimit = std::chrono::milliseconds(900);
    /** Interval between messages to different collectors while none is in use. */
    static constexpr Duration searchInterval = std::chrono::milliseconds(100);
    /** Interval between messages to a collector that goes before the one in use. */
    static constexpr Duration betterProbeInterval = std::chrono::seconds(1);
    /** Answers of that collector after which the share moves there. */
    static constexpr unsigned betterProbeAnswers = 3;
    /** How long a collector that did not answer is tried last. */
    static constexpr Duration failureRetention = std::chrono::seconds(8);

    /** @param key names the share @param mayDelegateAt when an earlier process of this VM can have
     * no share in use any more */
    AllowanceDelegation(AllowanceShareKey key, TimePoint mayDelegateAt)
        : m_key(key)
        , m_freeAt(mayDelegateAt)
    {}

    /** @param collectors in the order of preference */
    void setCollectors(std::vector<Endpoint> collectors);
    /** Sends what is due. @param share of this VM now */
    void tick(double share, TimePoint now, AllowanceTransport &transport);
    void answered(const Endpoint &sender, const DelegateAnswer &answer, double share, TimePoint now,
                  AllowanceTransport &transport);
    /** @return when to call tick() again. */
    TimePoint nextTick(TimePoint now) const;

    /** @return the collector that grants tokens, or nothing. */
    const std::optional<Endpoint> &collector() const { return m_collector; }
    /** @return whether this VM may use the share itself. */
    bool isOwn(TimePoint now) const { return now >= m_freeAt; }
    /** @return whether a collector has the share. */
    bool isDelegated(TimePoint now) const { return m_holder && now < m_freeAt; }

private:
    bool isFailing(const Endpoint &collector, TimePoint now) const;
    /** @return the first collector of the list that is not failing. */
    std::optional<Endpoint> preferred(TimePoint now) const;
    void search(TimePoint now, AllowanceTransport &transport);
    void probeBetter(TimePoint now, AllowanceTransport &transport);
    /** Renews or takes back the share. */
    void sendToCollector(double share, TimePoint now, AllowanceTransport &transport);
    /** Asks whether the collector is there, without giving it the share. */
    void sendProbe(const Endpoint &collector, AllowanceTransport &transport);
    void use(const Endpoint &collector, const DelegateAnswer &answer, TimePoint now);

    const AllowanceShareKey m_key;
    std::vector<Endpoint> m_collectors;
    std::optional<Endpoint> m_collector;
    /** The collector that has, or had, the share, and the number of its process. */
    std::optional<Endpoint> m_holder;
    std::uint64_t m_holderId = 0;
    /** Last message that delegated the share. */
    std::uint64_t m_holderSequence = 0;
    /** When the share is not in use at a collector any more. */
    TimePoint m_freeAt;
    /** Last answer of the collector in use. */
    DelegateAnswer m_lastAnswer;
    TimePoint m_answeredAt{};
    std::uint64_t m_sequence = 0;
    /** First message that takes the share back from the collector in use. */
    std::optional<std::uint64_t> m_takeBackSequence;
    /** The collector to which the share moves, and its last answer. */
    std::optional<Endpoint> m_next;
    DelegateAnswer m_nextAnswer;
    std::optional<Endpoint> m_better;
    unsigned m_betterAnswerCount = 0;
    TimePoint m_nextSendAt{};
    TimePoint m_nextBetterProbeAt{};
    std::size_t m_searchIndex = 0;
    std::map<Endpoint, TimePoint> m_failedAt;
};

} // namespace Sapphireladder
