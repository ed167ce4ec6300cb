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
    /** Name in the bodies of responses. */
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
    /** The behaviour and state that apply to one request. */
    struct BehaviourSnapshot
    {
        TargetBehaviour behaviour;
        /** Time at which the silent mode was last set. */
        TimePoint silentSince;
        bool isCold = false;
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
    void showExecutions(HttpExchangeContext &context);
    void showCounters(HttpExchangeContext &context);
    void changeBehaviour(HttpExchangeContext &context);

    BehaviourSnapshot takeSnapshot();
    /**
     * Blocks until the connection closes or the target stops, if the silent mode applies to the
     * connection.
     * @return whether it applied, so that no response may be sent.
     */
    bool withholdResponse(const HttpExchangeContext &context, const BehaviourSnapshot &snapshot);
    void serve(HttpExchangeContext &context);
    void executeRequest(HttpExchangeContext &context, const BehaviourSnapshot &snapshot,
                        std::size_t bodySize);
    Duration drawServiceTime(const BehaviourSnapshot &snapshot);
    bool drawWithProbability(double share);
    /** Stores the response for the mode "earlier". @return the one stored before. */
    TargetResponse exchangeEarlierResponse(const TargetResponse &response);
    void sendRejection(HttpExchangeContext &context, const BehaviourSnapshot &snapshot,
                       bool isMarked);
    unsigned reportedLoad(const BehaviourSnapshot &snapshot);
    std::string loadHeaderValue(const BehaviourSnapshot &snapshot);

    const std::string m_name;
    SteadyClock m_clock;
    StopEvent m_stop;
    SlotQueue m_slots;
    ExecutionCounter m_executions;
    std::atomic<std::uint64_t> m_requestCount{0};
    std::atomic<std::uint64_t> m_probeCount{0};
    std::atomic<std::uint64_t> m_shedCount{0};
    std::atomic<std::uint64_t> m_rejectedCount{0};

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
