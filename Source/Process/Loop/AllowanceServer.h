#pragma once

#include "Process/Loop/DatagramSocket.h"
#include "Process/Process.h"

#include <memory>

namespace Sapphireladder {

/** Answers the messages of VMs to this VM's collector. Runs on the control thread. */
class AllowanceServer
{
public:
    /** The references must outlive the server. */
    AllowanceServer(LoopContext &context, const GatewayControl &control,
                    const GatewaySettings &settings);

    /** @return ConnectionError::ListenFailed if the address cannot be bound. */
    Result<> listen();
    /** Applies the settings that may change at run time. */
    void reconfigure(const GatewaySettings &settings);
    void close() { m_socket.close(); }
    /** @return messages that were not valid. */
    std::uint64_t invalidMessages() const { return m_invalidMessages; }

private:
    void receive(const Endpoint &sender, std::string_view bytes);
    /** Applies the routes in force. */
    void updateWorkspaces();

    LoopContext &m_context;
    const GatewayControl &m_control;
    const Endpoint m_endpoint;
    AllowancePolicy m_policy;
    /** The routes whose workspaces the collector has. */
    std::shared_ptr<const RouteTable> m_routes;
    AllowanceCollector m_collector;
    std::uint64_t m_invalidMessages = 0;
    DatagramSocket m_socket;
};

} // namespace Sapphireladder
