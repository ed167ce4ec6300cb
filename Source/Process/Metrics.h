#pragma once

#include "Process/ControlTraffic.h"
#include "Request/Request.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace Sapphireladder {

/** One atomic counter per enum value. */
template<typename Enum>
class ReasonCounters
{
public:
    static constexpr std::size_t size = static_cast<std::size_t>(Enum::Count);

    void increment(Enum reason)
    {
        m_counts[static_cast<std::size_t>(reason)].fetch_add(1, std::memory_order_relaxed);
    }
    std::uint64_t value(Enum reason) const
    {
        return m_counts[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
    }

private:
    std::array<std::atomic<std::uint64_t>, size> m_counts{};
};

/** Latency histogram in microseconds with logarithmic bins. Thread-safe. */
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    void record(Duration latency);
    /** @param quantile from 0 to 1 @return upper bound of the bin that contains the quantile. */
    Duration quantile(double quantile) const;
    std::uint64_t count() const;

private:
    struct Bins;
    std::unique_ptr<Bins> m_bins;
};

/** Metrics of the process. Thread-safe. */
class Metrics final : public RequestObserver
{
public:
    void retried(RetryReason reason) override { m_retries.increment(reason); }
    void retryDenied(RetryDenial denial) override { m_denials.increment(denial); }
    void hedged() override { m_hedges.fetch_add(1, std::memory_order_relaxed); }
    void hedgeWon() override { m_hedgesWon.fetch_add(1, std::memory_order_relaxed); }
    void hedgeDenied(HedgeDenial denial) override { m_hedgeDenials.increment(denial); }

    /** Counts an outcome that was returned to a caller. */
    void recordOutcome(const RequestOutcome &outcome, Duration latency);
    /** Counts a report of a version lower than the one applied, by the store or a peer. */
    void recordOlderVersion() { m_olderVersions.fetch_add(1, std::memory_order_relaxed); }

    std::uint64_t olderVersions() const { return m_olderVersions.load(std::memory_order_relaxed); }
    /** @return counters of the process's own calls to the platform and to other VMs. */
    ControlTraffic &controlTraffic() { return m_controlTraffic; }
    /** Sets the total number of target observations that were dropped. */
    void setDroppedObservations(std::uint64_t n)
    {
        m_droppedObservations.store(n, std::memory_order_relaxed);
    }

    /** @return the metrics in the Prometheus text exposition format, version 0.0.4. */
    std::string toText() const;

    std::uint64_t answered() const { return m_answered.load(std::memory_order_relaxed); }
    std::uint64_t refused(RefusalReason reason) const { return m_refusals.value(reason); }
    std::uint64_t unknown(UnknownReason reason) const { return m_unknowns.value(reason); }

private:
    std::atomic<std::uint64_t> m_answered{0};
    std::atomic<std::uint64_t> m_olderVersions{0};
    std::atomic<std::uint64_t> m_droppedObservations{0};
    ReasonCounters<RefusalReason> m_refusals;
    ReasonCounters<UnknownReason> m_unknowns;
    ReasonCounters<RetryReason> m_retries;
    ReasonCounters<RetryDenial> m_denials;
    std::atomic<std::uint64_t> m_hedges{0};
    std::atomic<std::uint64_t> m_hedgesWon{0};
    ReasonCounters<HedgeDenial> m_hedgeDenials;
    LatencyHistogram m_latency;
    ControlTraffic m_controlTraffic;
};

} // namespace Sapphireladder
