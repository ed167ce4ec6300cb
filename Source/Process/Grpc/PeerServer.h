#pragma once

#include "Process/Process.h"

#include <functional>
#include <memory>
#include <thread>

namespace Sapphireladder {

/** Takes one control message. Returns false if it cannot be taken; the call then fails. */
using ControlPost = std::function<bool(ControlMessage message)>;

/** Answers the calls of other VMs. One thread turns each into a control message. */
class PeerServer
{
public:
    /**
     * Starts listening.
     * @param endpoint address for other VMs
     * @param post gives messages to the control thread; called by the server's thread
     * @param traffic counts messages and outlives the server
     * @return the server, or ProcessError::PeerListenFailed.
     */
    static Result<std::unique_ptr<PeerServer>> create(const Endpoint &endpoint, ControlPost post,
                                                      ControlTraffic &traffic);

    /** Ends calls under way. The control thread must still run or have dropped its messages. */
    ~PeerServer();

    struct Shared;

private:
    PeerServer();
    void run();

    std::unique_ptr<Shared> m_shared;
    std::thread m_thread;
};

} // namespace Sapphireladder
