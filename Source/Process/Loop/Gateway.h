#pragma once

#include "Process/Loop/AllowanceLink.h"
#include "Process/Loop/ConnectionListener.h"
#include "Process/Loop/SessionPool.h"
#include "Process/Loop/StatusHandler.h"
#include "Process/Process.h"
#include "Request/Loop/RequestLoop.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace Sapphireladder {

/**
 * Proxies the traffic of a VM: holds the callers' connections, the connections to targets and the
 * retry budgets. Runs on the traffic thread, except where noted.
 */
class Gateway final
    : public TrafficEnvironment
    , public RequestHandler
    , public SnapshotSink
{
public:
    /** The references must outlive the gateway. */
    Gateway(boost::asio::io_context &io, const Clock &clock, const HeaderCodec &headerCodec,
            EventSink &events, GatewaySettings settings);
    ~Gateway() override;

    /** Starts listening on all endpoints. Must be called before the loop runs. */
    Result<> listen();
    /** Passes a snapshot to the traffic thread. May be called from any thread. */
    void publish(std::shared_ptr<const GatewaySnapshot> snapshot) override;
    /** Applies the settings that may change at run time. May be called from any thread. */
    void reconfigure(const GatewaySettings &settings);

    /**
     * Reports the VM as not ready and closes each connection after its next response.
     * @param deadline when all requests must have ended
     */
    void beginStop(TimePoint deadline);
    /** Stops accepting connections and requests, and closes idle connections. */
    void closeIdleSessions();
    /** Ends all requests, with the replies that they would get at their deadlines. */
    void expireRequests();
    /** @return whether no request is being read or served. */
    bool isIdle() const;
    /** Closes all listeners and idle upstream connections. */
    void closeAll();

    // TrafficEnvironment
    LoopContext &context() override { return m_context; }
    const HeaderCodec &headerCodec() const override { return m_headerCodec; }
    EventSink &events() override { return m_events; }
    RandomSource &random() override { return m_random; }
    const SearchPolicy &searchPolicy() const override { return m_searchPolicy; }
    bool acceptsRequests() const override { return m_acceptsRequests; }
    std::optional<TimePoint> stopDeadline() const override { return m_stopDeadline; }
    std::shared_ptr<const RouteTable> routes() const override { return m_snapshot->routes; }
    std::span<const std::shared_ptr<Upstream>> upstreams(const ServiceName &service) override;
    std::span<const std::shared_ptr<Upstream>>
    preferredUpstreams(const ServiceName &service) override;
    AllowanceGate &allowances() override { return m_allowances.gate(); }
    RetryTokens &retryTokens(const ServiceName &service) override;
    WeightedServiceSelector &serviceSelector(const Route &route) override;
    Duration expectedServiceTime(const Route &route) const override;
    void recordServiceTime(const Route &route, Duration serviceTime) override;
    bool isHedgingEnabled() const override { return m_hedges.isEnabled(); }
    const SearchPolicy &hedgeSearchPolicy() const override { return m_hedgeSearchPolicy; }
    LatencyWindow &latencies(const Route &route) override { return m_hedges.latencies(route); }
    HedgeBudget &hedgeBudget(const ServiceName &service) override;
    bool isAdmissionEnabled() const override { return m_settings.admissionMinShare > 0; }
    std::optional<OverloadRefusal> checkOverload(const ServiceName &service,
                                                 const RequestPriority &priority) override;
    RequestObserver &observer() override { return m_metrics; }
    void recordOutcome(const RequestOutcome &outcome, Duration latency) override;
    void recordAbandoned() override { ++m_abandonedCount; }

    // RequestHandler
    std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                 ReplyHandler reply) override;
    void recordInvalidRequest(RefusalReason reason) override;
    const RequestLimits &limits() const override;
    bool isStopping() const override { return m_isStopping; }
    bool refusesHead(const CallerRequest &head) const override;

private:
    /** A target of the snapshot with this VM's connections to it and load statistics of it. */
    struct UpstreamEntry
    {
        /** The record that was applied last; absent before the first. */
        std::optional<TargetRecord> record;
        std::shared_ptr<Upstream> upstream;
    };

    /** The targets of one service. */
    struct ServiceUpstreams
    {
        std::vector<std::shared_ptr<Upstream>> all;
        /** Those that this VM uses. */
        std::vector<std::shared_ptr<Upstream>> preferred;
    };

    void applySnapshot(std::shared_ptr<const GatewaySnapshot> snapshot);
    UpstreamEntry createEntry(const TargetRecord &record, const UpstreamService &service);
    bool isSameInstance(const UpstreamEntry &entry, const TargetRecord &record,
                        std::string_view healthPath) const;
    void update(UpstreamEntry &entry, const TargetRecord &record);
    void updateWarmup(UpstreamEntry &entry, const TargetRecord &record);
    /** Adds the cold targets that few VMs, including this one, may send to. */
    void addWarmups(ServiceUpstreams &upstreams);
    /** Selects the targets that this VM uses, and divides the load probes among the VMs. */
    void selectPreferred(ServiceUpstreams &upstreams);
    void setProbeRate(Upstream &upstream, double fleetShare);
    RetryBudgetPolicy retryBudgetPolicy() const;
    WindowedRetryBudget &retryBudget(const ServiceName &service);
    HedgeBudgetPolicy hedgeBudgetPolicy() const;
    RequestOutcome readiness() const;
    std::string metricsText();
    void accept(TcpSocket socket);

    LoopContext m_context;
    /** Separate, so that neither callers nor a crowd at the status endpoints fill the buffers of
     * the other. */
    LoopContext m_statusContext;
    const HeaderCodec &m_headerCodec;
    EventSink &m_events;
    GatewaySettings m_settings;
    RandomSource m_random;
    SearchPolicy m_searchPolicy;
    SearchPolicy m_hedgeSearchPolicy;
    std::shared_ptr<const GatewaySnapshot> m_snapshot;
    TargetEligibilityTable m_eligibilities;
    std::map<TargetId, UpstreamEntry> m_upstreamEntries;
    std::unordered_map<ServiceName, ServiceUpstreams> m_upstreamsByService;
    ColdTargetShares m_coldShares;
    std::unordered_map<ServiceName, WindowedRetryBudget> m_retryBudgets;
    std::unordered_map<std::string, WeightedServiceSelector> m_serviceSelectors;
    /** Moving average of the service time, by route name. */
    std::unordered_map<std::string, Duration> m_serviceTimes;
    AllowanceLink m_allowances;
    HedgeTable m_hedges;
    std::unordered_map<ServiceName, OverloadRule> m_overloadRules;
    UpstreamCounters m_upstreamCounters;
    Metrics m_metrics;
    std::uint64_t m_abandonedCount = 0;
    bool m_isStopping = false;
    std::optional<TimePoint> m_stopDeadline;
    bool m_acceptsRequests = true;
    // The pools are declared before the listeners, which pass connections to them.
    SessionPool m_callerSessions;
    SessionPool m_readySessions;
    SessionPool m_metricsSessions;
    StatusHandler m_readyHandler;
    StatusHandler m_metricsHandler;
    ConnectionListener m_callerListener;
    ConnectionListener m_readyListener;
    ConnectionListener m_metricsListener;
};

} // namespace Sapphireladder
