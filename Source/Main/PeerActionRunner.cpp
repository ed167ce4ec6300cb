#include "Main/PeerActionRunner.h"

#include "Version/Yaml/VersionYaml.h"

namespace Sapphireladder {

PresetRead parsePresetText(const ActivePreset &activePreset, Result<std::string> text)
{
    if (!text)
        return {activePreset, text.error(), nullptr};
    if (digestOf(text.value()) != activePreset.digest)
        return {activePreset, makeError(VersionError::DigestMismatch, activePreset.digest.string()),
                nullptr};
    auto shared = std::make_shared<const std::string>(std::move(text.value()));
    return {activePreset, readSnapshot(activePreset.version, *shared), shared};
}

PeerActionRunner::PeerActionRunner(const PeerActionContext &context)
    : m_context(context)
    , m_client(std::make_unique<PeerClient>(context.traffic, context.events))
{}

Result<> PeerActionRunner::start()
{
    const auto post = [this](ControlMessage message) {
        return m_context.control.post(std::move(message));
    };
    TRY_ASSIGN(server,
               PeerServer::create(m_context.settings.peerEndpoint, post, m_context.traffic));
    m_server = std::move(server);
    return success();
}

void PeerActionRunner::stop()
{
    m_server.reset();
}

void PeerActionRunner::writeHeartbeat(const Member &self)
{
    m_context.ioThreadPool.post([this, self] {
        auto result = m_context.memberStore.write(self);
        m_context.control.post(HeartbeatWritten{result.status});
        const std::lock_guard lock(m_tagMutex);
        m_heartbeatTag = std::move(result.tag);
    });
}

void PeerActionRunner::removeHeartbeat(const Member &self)
{
    m_context.ioThreadPool.post([this, self] {
        const std::lock_guard lock(m_tagMutex);
        // Without the tag of the last write, the row may belong to a later incarnation of this VM.
        if (!m_heartbeatTag.empty())
            m_context.memberStore.remove(self.vm, m_heartbeatTag);
    });
}

void PeerActionRunner::readMembers(unsigned shard)
{
    m_context.ioThreadPool.post([this, shard] {
        m_context.control.post(MembersRead{m_context.memberStore.readShard(shard)});
    });
}

void PeerActionRunner::readVmList()
{
    m_context.ioThreadPool.post(
            [this] { m_context.control.post(VmListRead{m_context.vmList.read()}); });
}

void PeerActionRunner::exchange(const Endpoint &peer, const Digest &digest)
{
    m_client->exchange(peer, digest, [this](Result<Digest> reply) {
        if (reply)
            m_context.control.post(DigestReceived{std::move(reply.value()), {}});
    });
}

void PeerActionRunner::pushPreset(const Endpoint &peer, const ActivePreset &activePreset)
{
    m_client->push(peer, activePreset, m_context.settings.peerEndpoint);
}

void PeerActionRunner::fetchPreset(const Endpoint &peer, const ActivePreset &activePreset)
{
    m_client->fetch(peer, activePreset.digest,
                    [this, activePreset](const Result<std::string> &text) {
                        // Parsing a large preset here would block the thread that completes all
                        // peer calls.
                        m_context.ioThreadPool.post([this, activePreset, text] {
                            m_context.control.post(parsePresetText(activePreset, text));
                        });
                    });
}

} // namespace Sapphireladder
