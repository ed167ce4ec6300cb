#pragma once

#include "Process/Loop/DatagramSocket.h"
#include "Process/Process.h"

namespace Sapphireladder {

/** Connects this VM's AllowanceClient to the collectors. Runs on the traffic thread. */
class AllowanceLink final : public AllowanceTransport
{
public:
    /** The references must outlive the link. */
    AllowanceLink(LoopContext &context, EventSink &events, const GatewaySettings &settings);

    /** Applies a snapshot. Sends nothing while no workspace has an allowance. */
    void update(const GatewaySnapshot &snapshot);
    /** Applies the settings that may change at run time; takes effect with the next update. */
    void reconfigure(const GatewaySettings &settings);
    void close();
    AllowanceGate &gate() { return m_client; }
    AllowanceClient &client() { return m_client; }
    std::uint64_t invalidMessages() const { return m_invalidMessages; }

    // AllowanceTransport
    void send(const Endpoint &collector, const AllowanceMessage &message) override;

private:
    void receive(const Endpoint &sender, std::string_view bytes);
    void tick();
    /** Calls tick() after a delay, or before if that is planned already. */
    void tickWithin(Duration delay);

    LoopContext &m_context;
    const Endpoint m_localEndpoint;
    AllowancePolicy m_policy;
    /** The routes whose workspaces the client has. */
    std::shared_ptr<const RouteTable> m_routes;
    DatagramSocket m_socket;
    LoopTimer m_timer;
    std::optional<TimePoint> m_nextTick;
    std::uint64_t m_invalidMessages = 0;
    AllowanceClient m_client;
};

} // namespace Sapphireladder
