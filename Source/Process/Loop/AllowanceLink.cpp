#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

AllowanceLink::AllowanceLink(LoopContext &context, EventSink &events,
                             const GatewaySettings &settings)
    : m_context(context)
    , m_localEndpoint{settings.relayEndpoint.host, 0}
    , m_policy(allowancePolicyOf(settings))
    , m_socket(context, [this](const auto &sender, auto bytes) { receive(sender, bytes); })
    , m_timer(context.io)
    , m_client(RandomSource::fromSystem().bits(), context.clock, *this, events,
               !settings.isFirstStart)
{}

void AllowanceLink::update(const GatewaySnapshot &snapshot)
{
    m_client.setFleetSize(snapshot.fleetSize);
    if (!snapshot.routes)
        return;
    if (m_routes != snapshot.routes) {
        m_routes = snapshot.routes;
        m_client.setWorkspaces(m_routes->workspaces(), m_policy);
    }
    m_client.setCollectors(snapshot.allowanceCollectors);
    const auto &workspaces = m_routes->workspaces();
    const bool isLimited = std::any_of(workspaces.begin(), workspaces.end(),
                                       [](const auto &it) { return it.isLimited(); });
    if (!isLimited)
        return;
    // If it fails, requests are refused but for this VM's own share, and the next update retries.
    if (!m_socket.isOpen() && !m_localEndpoint.host.empty())
        static_cast<void>(m_socket.open(m_localEndpoint));
    tick();
}

void AllowanceLink::reconfigure(const GatewaySettings &settings)
{
    m_policy = allowancePolicyOf(settings);
    m_routes.reset();
}

void AllowanceLink::close()
{
    m_timer.cancel();
    m_socket.close();
}

void AllowanceLink::send(const Endpoint &collector, const AllowanceMessage &message)
{
    m_socket.send(collector, encodeAllowanceMessage(message));
    if (std::holds_alternative<TokenRequest>(message))
        tickWithin(AllowanceClient::answerTimeout);
}

void AllowanceLink::receive(const Endpoint &sender, std::string_view bytes)
{
    const auto message = decodeAllowanceMessage(bytes);
    if (message)
        m_client.receive(sender, *message);
    else
        ++m_invalidMessages;
}

void AllowanceLink::tick()
{
    m_nextTick.reset();
    const auto next = m_client.tick();
    if (next)
        tickWithin(std::max(Duration::zero(), *next - m_context.clock.now()));
}

void AllowanceLink::tickWithin(Duration delay)
{
    const auto time = m_context.clock.now() + delay;
    if (m_nextTick && *m_nextTick <= time)
        return;
    m_nextTick = time;
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const auto &ec) {
        if (!ec)
            tick();
    });
}

} // namespace Sapphireladder
