#pragma once

#include "Connection/Connection.h"
#include "Connection/Loop/UpstreamConnection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Sapphireladder {

/** What the VM knows of a target when it starts to use it. */
struct UpstreamSpec
{
    TargetId id;
    Endpoint endpoint;
    unsigned slots = 1;
    bool isLocal = false;
    std::string healthPath;
};

/** Bounds of the connections to one target. */
struct UpstreamLimits
{
    /** Time to open a connection; opening takes about 1 ms, and a lost first packet costs 1 s. */
    Duration connectTimeout = std::chrono::milliseconds(250);
    /** Time after which an unanswered packet ends a connection. */
    Duration silenceLimit = std::chrono::seconds(3);
    /** Idle connections that are kept. */
    std::size_t maxIdle = 4;
    /** Time that an idle connection is kept if the target states none. */
    Duration idleTimeout = std::chrono::seconds(8);
    /** Connections open at once, idle ones included. */
    std::size_t maxOpen = 12;
};

/** Numbers of one VM's work with all its targets. */
struct UpstreamCounts
{
    std::uint64_t asked = 0;
    std::uint64_t askFailures = 0;
    std::uint64_t opened = 0;
};

/**
 * One life of a target: its connections and what is known of its load. A target that starts again,
 * or whose id moves to another address, is another object.
 */
class Upstream : public std::enable_shared_from_this<Upstream>
{
public:
    /** Called with whether the target told its load. */
    using AskHandler = std::function<void(bool isAnswered)>;

    /** The references outlive the object. */
    Upstream(LoopContext &context, const HeaderCodec &dialect, UpstreamCounts &counts,
             UpstreamSpec spec);
    ~Upstream();

    const UpstreamSpec &spec() const { return m_spec; }
    TargetStats &figures() { return m_figures; }
    const TargetStats &figures() const { return m_figures; }

    void setAskPolicy(const LoadProbePolicy &policy) { m_askBudget.setPolicy(policy); }
    void setDraining(bool isDraining) { m_isDraining = isDraining; }
    /** @return whether new requests may be sent. */
    bool isUsable() const { return !m_isDraining && !m_isMisaddressed; }
    /** Another target answers at the address. */
    void setMisaddressed() { m_isMisaddressed = true; }

    /** @return the budget of questions for the load. */
    const LoadProbeBudget &askBudget() const { return m_askBudget; }
    /** Asks for the load. Questions at the same time share one answer. */
    void ask(AskHandler handler);

    /** @return a connection for a request, maybe one that is still being opened. */
    std::shared_ptr<UpstreamConnection> take(Reuse reuse);
    /** Keeps a connection for further requests, if it can carry any. */
    void give(std::shared_ptr<UpstreamConnection> connection);
    /** Closes the idle connections that had no answer since the time given: they may be silent. */
    void dropSilentSince(TimePoint time);
    /** Closes all idle connections. */
    void closeIdle();

private:
    struct IdleConnection
    {
        std::shared_ptr<UpstreamConnection> connection;
        TimePoint since;
    };

    void sendQuestion();
    void questionEnded(const AttemptResult &result);
    std::string encodeQuestion() const;
    bool isReusable(const IdleConnection &idle, Reuse reuse, TimePoint now) const;

    LoopContext &m_context;
    const HeaderCodec &m_dialect;
    UpstreamCounts &m_counts;
    const UpstreamSpec m_spec;
    TargetStats m_figures;
    UpstreamLimits m_limits;
    LoadProbeBudget m_askBudget;
    bool m_isDraining = false;
    bool m_isMisaddressed = false;
    std::vector<IdleConnection> m_idle;
    std::vector<AskHandler> m_askHandlers;
    std::shared_ptr<UpstreamConnection> m_askConnection;
};

} // namespace Sapphireladder
