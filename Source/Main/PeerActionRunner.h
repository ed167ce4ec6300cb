#pragma once

#include "Process/Grpc/ProcessGrpc.h"
#include "Process/Http/ProcessHttp.h"
#include "Process/Io/ProcessIo.h"

#include <memory>
#include <mutex>
#include <string>

namespace Sapphireladder {

/** Dependencies of a PeerActionRunner. All must outlive it. */
struct PeerActionContext
{
    const Settings &settings;
    MemberStore &memberStore;
    VmList &vmList;
    IoThreadPool &ioThreadPool;
    ControlThread &control;
    EventSink &events;
    ControlTraffic &traffic;
};

/** Makes the control thread's calls to other VMs, and accesses heartbeat rows and the VM list. */
class PeerActionRunner final : public PeerActions
{
public:
    explicit PeerActionRunner(const PeerActionContext &context);

    /** Starts serving other VMs. @return ProcessError::PeerListenFailed if it cannot listen. */
    Result<> start();
    /** Ends the calls of other VMs. The control thread must still run, since it completes them. */
    void stop();

    void writeHeartbeat(const Member &self) override;
    void removeHeartbeat(const Member &self) override;
    void readMembers(unsigned shard) override;
    void readVmList() override;
    void exchange(const Endpoint &peer, const Digest &digest) override;
    void pushPreset(const Endpoint &peer, const ActivePreset &activePreset) override;
    void fetchPreset(const Endpoint &peer, const ActivePreset &activePreset) override;

private:
    PeerActionContext m_context;
    std::mutex m_tagMutex;
    /** Tag of this VM's heartbeat row after the last write. */
    std::string m_heartbeatTag;
    std::unique_ptr<PeerClient> m_client;
    std::unique_ptr<PeerServer> m_server;
};

/**
 * Parses a preset's text that was read from the store or a peer.
 * @param activePreset expected version and digest of the text
 * @param text the text, or the error of reading it
 * @return the message to post to the control thread.
 */
PresetRead parsePresetText(const ActivePreset &activePreset, Result<std::string> text);

} // namespace Sapphireladder
