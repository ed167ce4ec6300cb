#include "Process/Loop/ProcessLoop.h"

namespace Sapphireladder {

AllowanceServer::AllowanceServer(LoopContext &context, const GatewayControl &control,
                                 const GatewaySettings &settings)
    : m_context(context)
    , m_control(control)
    , m_endpoint(allowanceEndpoint(settings.relayEndpoint))
    , m_policy(allowancePolicyOf(settings))
    , m_collector(RandomSource::fromSystem().bits())
    , m_socket(context, [this](const auto &sender, auto bytes) { receive(sender, bytes); })
{}

Result<> AllowanceServer::listen()
{
    return m_socket.open(m_endpoint);
}

void AllowanceServer::reconfigure(const GatewaySettings &settings)
{
    m_policy = allowancePolicyOf(settings);
    m_routes.reset();
}

void AllowanceServer::updateWorkspaces()
{
    if (m_routes == m_control.routes())
        return;
    m_routes = m_control.routes();
    m_collector.setWorkspaces(m_routes->workspaces(), m_policy, m_context.clock.now());
}

void AllowanceServer::receive(const Endpoint &sender, std::string_view bytes)
{
    const auto message = decodeAllowanceMessage(bytes);
    if (!message) {
        ++m_invalidMessages;
        return;
    }
    // Without routes the limits are not known.
    if (!m_control.routes())
        return;
    updateWorkspaces();
    const auto now = m_context.clock.now();
    if (const auto *delegation = std::get_if<DelegateMessage>(&*message))
        m_socket.send(sender, encodeAllowanceMessage(m_collector.delegate(*delegation, now)));
    else if (const auto *request = std::get_if<TokenRequest>(&*message))
        m_socket.send(sender, encodeAllowanceMessage(m_collector.grant(*request, now)));
}

} // namespace Sapphireladder
