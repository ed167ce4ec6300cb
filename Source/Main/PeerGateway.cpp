#include "Main/PeerGateway.h"

#include "Version/Yaml/VersionYaml.h"

namespace Sapphireladder {

PresetRead readPresetText(const ActivePreset &inForce, Result<std::string> text)
{
    if (!text)
        return {inForce, text.error(), nullptr};
    if (digestOf(text.value()) != inForce.digest)
        return {inForce, makeError(VersionError::DigestMismatch, inForce.digest.string()), nullptr};
    auto shared = std::make_shared<const std::string>(std::move(text.value()));
    return {inForce, readSnapshot(inForce.version, *shared), shared};
}

PeerGateway::PeerGateway(const PeerGatewayParts &parts)
    : m_parts(parts)
    , m_client(std::make_unique<PeerClient>(parts.traffic, parts.events))
{}

Result<> PeerGateway::start()
{
    const auto post = [this](ControlMessage message) {
        return m_parts.control.post(std::move(message));
    };
    TRY_ASSIGN(server, PeerServer::create(m_parts.settings.peerEndpoint, post, m_parts.traffic));
    m_server = std::move(server);
    return success();
}

void PeerGateway::stop()
{
    m_server.reset();
}

void PeerGateway::writeHeartbeat(const Member &self)
{
    m_parts.io.post([this, self] {
        auto write = m_parts.members.write(self);
        m_parts.control.post(HeartbeatWritten{write.status});
        const std::lock_guard lock(m_tagMutex);
        m_heartbeatTag = std::move(write.tag);
    });
}

void PeerGateway::removeHeartbeat(const Member &self)
{
    m_parts.io.post([this, self] {
        const std::lock_guard lock(m_tagMutex);
        // Without the tag of the last write, the row may be one of a later start.
        if (!m_heartbeatTag.empty())
            m_parts.members.remove(self.vm, m_heartbeatTag);
    });
}

void PeerGateway::readMembers(unsigned shard)
{
    m_parts.io.post(
            [this, shard] { m_parts.control.post(MembersRead{m_parts.members.readShard(shard)}); });
}

void PeerGateway::readVmList()
{
    m_parts.io.post([this] { m_parts.control.post(VmListRead{m_parts.vmList.read()}); });
}

void PeerGateway::exchange(const Endpoint &peer, const Digest &digest)
{
    m_client->exchange(peer, digest, [this](Result<Digest> answer) {
        if (answer)
            m_parts.control.post(DigestHeard{std::move(answer.value()), {}});
    });
}

void PeerGateway::pushPreset(const Endpoint &peer, const ActivePreset &inForce)
{
    m_client->push(peer, inForce, m_parts.settings.peerEndpoint);
}

void PeerGateway::fetchPreset(const Endpoint &peer, const ActivePreset &inForce)
{
    m_client->fetch(peer, inForce.digest, [this, inForce](const Result<std::string> &text) {
        // Parsing a large preset would hold up the thread that reports all peer calls.
        m_parts.io.post(
                [this, inForce, text] { m_parts.control.post(readPresetText(inForce, text)); });
    });
}

} // namespace Sapphireladder
