#pragma once

#include "Process/Loop/ConnectionListener.h"
#include "Process/Loop/StatusHandler.h"
#include "Process/Process.h"
#include "Request/Loop/RequestLoop.h"

#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Sapphireladder {

/** The traffic of a VM: callers' connections, targets and budgets. Runs on the traffic thread. */
class Gateway final
    : public TrafficHost
    , public RequestHandler
    , public SessionRegistry
    , public SnapshotSink
{
public:
    /** The references outlive the gateway. */
    Gateway(boost::asio::io_context &io, const Clock &clock, const ProxyDialect &dialect,
            EventSink &events, GatewaySettings settings);
    ~Gateway() override;

    /** Starts to listen. Called before the loop runs. */
    Result<> listen();
    /** Hands a snapshot to the traffic thread. Called from any thread. */
    void publish(std::shared_ptr<const GatewaySnapshot> snapshot) override;
    /** Takes over settings that may change while the process runs. */
    void reconfigure(const GatewaySettings &settings);

    /** Fails readiness and closes each connection after its next answer. */
    void beginStop();
    /** Accepts no more connections and closes idle ones. */
    void closeIdleSessions();
    /** @return whether no request is being read or served. */
    bool isIdle() const;
    /** Closes everything. */
    void closeAll();

    // TrafficHost
    LoopContext &context() override { return m_context; }
    const ProxyDialect &dialect() const override { return m_dialect; }
    EventSink &events() override { return m_events; }
    RandomSource &random() override { return m_random; }
    const SearchPolicy &searchPolicy() const override { return m_searchPolicy; }
    std::shared_ptr<const RouteTable> routes() const override { return m_snapshot->routes; }
    std::span<const std::shared_ptr<Upstream>> upstreams(const ServiceName &service) override;
    RetryTokens &retryTokens(const ServiceName &service) override;
    SplitChooser &splitOf(const Route &route) override;
    Duration expectedWork(const Route &route) const override;
    void recordWork(const Route &route, Duration work) override;
    RequestObserver &observer() override { return m_metrics; }
    void recordOutcome(const RequestOutcome &outcome, Duration latency) override;
    void recordAbandoned() override { ++m_abandoned; }

    // RequestHandler
    std::shared_ptr<PendingRequestHandle> handle(CallerRequest request,
                                                 ReplyHandler reply) override;
    void recordInvalidRequest(RefusalReason reason) override;
    const RequestLimits &limits() const override;
    bool isStopping() const override { return m_isStopping; }

    // SessionRegistry
    void sessionEnded(const std::shared_ptr<CallerSession> &session) override;

private:
    /** A target of the snapshot with what the VM holds for it. */
    struct UpstreamEntry
    {
        TargetRecord record;
        std::shared_ptr<Upstream> upstream;
    };

    void apply(std::shared_ptr<const GatewaySnapshot> snapshot);
    UpstreamEntry makeEntry(const TargetRecord &record, std::string_view healthPath);
    bool isSameLife(const UpstreamEntry &entry, const TargetRecord &record,
                    std::string_view healthPath) const;
    void update(UpstreamEntry &entry, const TargetRecord &record);
    RepeatPolicy repeatPolicy() const;
    RequestOutcome readiness() const;
    std::string metricsText() const;
    void accept(TcpSocket socket, RequestHandler &handler);

    LoopContext m_context;
    const ProxyDialect &m_dialect;
    EventSink &m_events;
    GatewaySettings m_settings;
    RandomSource m_random;
    SearchPolicy m_searchPolicy;
    std::shared_ptr<const GatewaySnapshot> m_snapshot;
    std::map<TargetId, UpstreamEntry> m_entries;
    std::unordered_map<ServiceName, std::vector<std::shared_ptr<Upstream>>> m_services;
    std::unordered_map<ServiceName, WindowedRetryBudget> m_budgets;
    std::unordered_map<std::string, SplitChooser> m_splits;
    std::unordered_map<std::string, Duration> m_work;
    UpstreamCounters m_upstreamCounts;
    Metrics m_metrics;
    std::uint64_t m_abandoned = 0;
    bool m_isStopping = false;
    StatusHandler m_readyHandler;
    StatusHandler m_metricsHandler;
    ConnectionListener m_callerListener;
    ConnectionListener m_readyListener;
    ConnectionListener m_metricsListener;
    std::unordered_set<std::shared_ptr<CallerSession>> m_sessions;
};

} // namespace Sapphireladder
