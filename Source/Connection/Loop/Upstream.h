#pragma once

#include "Connection/Connection.h"
#include "Connection/Loop/UpstreamConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sapphireladder {

/** Identity and configuration of a target. */
struct UpstreamSpec
{
    TargetId id;
    Endpoint endpoint;
    unsigned slots = 1;
    bool isLocal = false;
    std::string healthPath;
};

/** Limits for the connections to one target. */
struct UpstreamLimits
{
    /** Connecting takes about 1 ms, but 1 s if the first packet is lost and retransmitted. */
    Duration connectTimeout = std::chrono::milliseconds(250);
    /** Time without an acknowledgement after which a connection fails. */
    Duration ackTimeout = std::chrono::seconds(3);
    /** Maximum number of idle connections. */
    std::size_t maxIdleConnections = 4;
    /** Used if the target announces no idle timeout. */
    Duration defaultIdleTimeout = std::chrono::seconds(8);
    /** Maximum number of open connections, including idle ones. Not enforced at present. */
    std::size_t maxOpenConnections = 12;
};

/** Counters over all targets of the VM. */
struct UpstreamCounters
{
    std::uint64_t probesSent = 0;
    std::uint64_t probesFailed = 0;
    std::uint64_t connectionsOpened = 0;
    /** Targets that announced in a response that they are leaving. */
    std::uint64_t leavingAnnounced = 0;
    /** Pauses that targets asked for. */
    std::uint64_t pausesRequested = 0;
    /** Requests sent to cold targets whose requests are limited. */
    std::uint64_t sentToCold = 0;
};

/**
 * One incarnation of a target: its connections and its load. A restarted target, or a target whose
 * id moves to another address, is represented by a new object.
 */
class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
    /** Called when a probe ends. @param hasLoad whether the target reported its load */
    using ProbeHandler = std::function<void(bool hasLoad)>;

    /**
     * All references must outlive the object.
     * @param eligibility eligibility of the target's incarnation; not null
     */
    Upstream(LoopContext &context, const HeaderCodec &headerCodec, EventSink &events,
             UpstreamCounters &counters, UpstreamSpec spec,
             std::shared_ptr<TargetEligibility> eligibility);
    ~Upstream();

    const UpstreamSpec &spec() const { return m_spec; }
    TargetStats &stats() { return m_stats; }
    const TargetStats &stats() const { return m_stats; }

    void setProbePolicy(const LoadProbePolicy &policy) { m_probeBudget.setPolicy(policy); }
    void addProbeRate(double probesPerSecond) { m_probeBudget.addRate(probesPerSecond); }
    void setDraining(bool isDraining) { m_eligibility->setDraining(isDraining); }
    /** Sets what this VM may send while the target is cold; see ColdTargetBudget::setAllowance().
     */
    void setColdAllowance(std::optional<unsigned> requests) { m_coldBudget.setAllowance(requests); }
    /** Applies how long the target stays cold by a new record of it. */
    void setWarmupLeft(Duration warmupLeft);
    const ColdTargetBudget &coldBudget() const { return m_coldBudget; }
    void setEvacuated(bool isEvacuated) { m_eligibility->setEvacuated(isEvacuated); }
    /** @return whether new requests may be sent. */
    bool isUsable() const;
    /** @return whether the target is cold, and this VM is one of those that may warm it up now. */
    bool isWarmupDue() const { return m_coldBudget.isWarmupDue(m_context.clock.now()); }
    /** A request is sent to the target. */
    void requestSent();
    const TargetEligibility &eligibility() const { return *m_eligibility; }
    /** Marks the target as unusable because another target answers at its address. */
    void setMisaddressed() { m_eligibility->setMisaddressed(); }
    bool isMisaddressed() const { return m_eligibility->isMisaddressed(); }
    /** Applies what the target states about itself in a response to a request or a probe. */
    void responseReceived(const ResponseMetadata &metadata);

    /** @return the budget for load probes. */
    const LoadProbeBudget &probeBudget() const { return m_probeBudget; }
    /** Probes the load of the target. Concurrent calls share one probe. */
    void probe(ProbeHandler handler);

    /** @return a connection for a request, idle or still connecting. */
    std::shared_ptr<UpstreamConnection> acquire(ReusePolicy reuse);
    /** Returns a connection to the pool if it can be reused. */
    void release(std::shared_ptr<UpstreamConnection> connection);
    /** Closes idle connections without a response since `time`: they may have lost their peer. */
    void closeUnansweredSince(TimePoint time);
    /** Closes all idle connections. */
    void closeIdle();

private:
    struct IdleConnection
    {
        std::shared_ptr<UpstreamConnection> connection;
        TimePoint idleSince;
    };

    void sendProbe();
    void handleProbeResult(const AttemptResult &result);
    void probeAnswered(const ResponseMetadata &metadata, TimePoint now);
    std::string encodeProbe() const;
    bool isReusable(const IdleConnection &idle, ReusePolicy reuse, TimePoint now) const;

    LoopContext &m_context;
    const HeaderCodec &m_headerCodec;
    EventSink &m_events;
    UpstreamCounters &m_counters;
    const UpstreamSpec m_spec;
    TargetStats m_stats;
    UpstreamLimits m_limits;
    LoadProbeBudget m_probeBudget;
    ColdTargetBudget m_coldBudget;
    const std::shared_ptr<TargetEligibility> m_eligibility;
    std::vector<IdleConnection> m_idle;
    std::vector<ProbeHandler> m_probeHandlers;
    std::shared_ptr<UpstreamConnection> m_probeConnection;
    TimePoint m_probeSentAt{};
};

} // namespace Sapphireladder
