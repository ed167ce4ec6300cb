#pragma once

#include "Testbed/ExecutionCounter.h"
#include "Testbed/StopEvent.h"
#include "Testbed/TargetBehaviour.h"

#include <atomic>
#include <mutex>

namespace Sapphireladder::Testbed {

/** Initial options of a fake target. */
struct TargetOptions
{
    Endpoint endpoint;
    std::string name = "target";
    TargetBehaviour behaviour;
};

/**
 * A fake upstream instance. GET /health, /load, /runs, /counters and POST /behaviour are served
 * without a slot; every other request needs one.
 */
class FakeTarget
{
public:
    explicit FakeTarget(const TargetOptions &options);
    ~FakeTarget();

    Endpoint endpoint() const { return m_server.endpoint(); }

private:
    /** The state that applies to one request. */
    struct BehaviourSnapshot
    {
        TargetBehaviour behaviour;
        /** Time at which the silent mode was last set. */
        TimePoint silentSince;
        bool cold = false;
        /** Load at the last change of behaviour. */
        unsigned loadAtChange = 0;
    };
    /** A request that is served without a slot. */
    struct ControlRoute
    {
        std::string_view method;
        std::string_view path;
        void (FakeTarget::*handle)(HttpExchangeContext &context);
    };

    void handle(HttpExchangeContext &context);
    void showHealth(HttpExchangeContext &context);
    void showLoad(HttpExchangeContext &context);
    void showRuns(HttpExchangeContext &context);
    void showCounters(HttpExchangeContext &context);
    void changeBehaviour(HttpExchangeContext &context);

    BehaviourSnapshot takeSnapshot();
    bool withholdResponse(const HttpExchangeContext &context, const BehaviourSnapshot &snapshot);
    void serve(HttpExchangeContext &context);
    void runRequest(HttpExchangeContext &context, const BehaviourSnapshot &snapshot,
                    std::size_t bodySize);
    Duration drawServiceTime(const BehaviourSnapshot &snapshot);
    bool drawWithProbability(double share);
    TargetResponse replaceEarlierResponse(const TargetResponse &response);
    void sendRefusal(HttpExchangeContext &context, const BehaviourSnapshot &snapshot, bool marked);
    unsigned reportedLoad(const BehaviourSnapshot &snapshot);
    std::string loadHeaderValue(const BehaviourSnapshot &snapshot);

    const std::string m_name;
    SteadyClock m_clock;
    StopEvent m_stop;
    SlotQueue m_slots;
    ExecutionCounter m_executions;
    std::atomic<std::uint64_t> m_requests{0};
    std::atomic<std::uint64_t> m_probes{0};
    std::atomic<std::uint64_t> m_shed{0};
    std::atomic<std::uint64_t> m_rejected{0};

    std::mutex m_mutex;
    TargetBehaviour m_behaviour;
    TimePoint m_startedAt;
    TimePoint m_silentSince;
    unsigned m_loadAtChange = 0;
    RandomSource m_random;
    TargetResponse m_earlierResponse;

    TestHttpServer m_server;
};

} // namespace Sapphireladder::Testbed
