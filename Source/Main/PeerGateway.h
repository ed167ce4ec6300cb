#pragma once

#include "Process/Grpc/ProcessGrpc.h"
#include "Process/Http/ProcessHttp.h"
#include "Process/Io/ProcessIo.h"

#include <memory>
#include <mutex>
#include <string>

namespace Sapphireladder {

/** Where a peer gateway's calls go. All outlive it. */
struct PeerGatewayParts
{
    const Settings &settings;
    MemberStore &members;
    VmList &vmList;
    IoThreads &io;
    ControlThread &control;
    EventSink &events;
    ControlTraffic &traffic;
};

/** Carries out what the control thread asks for towards other VMs and the list of VMs. */
class PeerGateway final : public PeerActions
{
public:
    explicit PeerGateway(const PeerGatewayParts &parts);

    /** Starts to answer other VMs. @return ProcessError::PeerListenFailed if it cannot listen. */
    Result<> start();
    /** Ends the calls of other VMs. The control thread must still run, to answer them. */
    void stop();

    void writeHeartbeat(const Member &self) override;
    void removeHeartbeat(const Member &self) override;
    void readMembers(unsigned shard) override;
    void readVmList() override;
    void exchange(const Endpoint &peer, const Digest &digest) override;
    void pushPreset(const Endpoint &peer, const ActivePreset &inForce) override;
    void fetchPreset(const Endpoint &peer, const ActivePreset &inForce) override;

private:
    PeerGatewayParts m_parts;
    std::mutex m_tagMutex;
    /** Tag of this VM's heartbeat row, as last written. */
    std::string m_heartbeatTag;
    std::unique_ptr<PeerClient> m_client;
    std::unique_ptr<PeerServer> m_server;
};

/**
 * Reads a preset's text that came from the store or from a peer.
 * @param inForce version and digest that the text must have
 * @param text the text, or why there is none
 * @return the message that tells the control thread.
 */
PresetRead readPresetText(const ActivePreset &inForce, Result<std::string> text);

} // namespace Sapphireladder
