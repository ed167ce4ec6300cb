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
class Target
{
public:
    explicit Target(const TargetOptions &options);
    ~Target();

    Endpoint endpoint() const { return m_server.endpoint(); }

private:
    /** The state that applies to one request. */
    struct Situation
    {
        TargetBehaviour behaviour;
        /** Time at which `silent` was last set. */
        TimePoint silenceSetAt;
        bool cold = false;
        unsigned inFlightAtChange = 0;
    };
    /** A request that is served without a slot. */
    struct Page
    {
        std::string_view method;
        std::string_view path;
        void (Target::*show)(HttpExchangeContext &context);
    };

    void handle(HttpExchangeContext &context);
    void showHealth(HttpExchangeContext &context);
    void showLoad(HttpExchangeContext &context);
    void showRuns(HttpExchangeContext &context);
    void showCounters(HttpExchangeContext &context);
    void changeBehaviour(HttpExchangeContext &context);

    Situation situation();
    bool staySilent(const HttpExchangeContext &context, const Situation &now);
    void serve(HttpExchangeContext &context);
    void runRequest(HttpExchangeContext &context, const Situation &now, std::size_t bodySize);
    Duration drawServiceTime(const Situation &now);
    bool drawFault(double share);
    TargetResponse rememberAnswer(const TargetResponse &answer);
    void refuse(HttpExchangeContext &context, const Situation &now, bool marked);
    unsigned statedLoad(const Situation &now);
    std::string loadField(const Situation &now);

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
    TimePoint m_silenceSetAt;
    unsigned m_inFlightAtChange = 0;
    RandomSource m_random;
    TargetResponse m_earlier;

    TestHttpServer m_server;
};

} // namespace Sapphireladder::Testbed
