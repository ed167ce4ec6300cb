#pragma once

#include "Process/Process.h"

#include <functional>
#include <memory>
#include <thread>

namespace Sapphireladder {

/** Queues a control message. Returns false if it cannot be queued; the peer's call then fails. */
using ControlMessageSink = std::function<bool(ControlMessage message)>;

/** Serves the gRPC calls of other VMs. One thread turns each call into a control message. */
class PeerServer
{
public:
    /**
     * Starts listening.
     * @param endpoint address to listen on
     * @param post posts messages to the control thread; called on the server's thread
     * @param traffic counts messages; must outlive the server
     * @return the server, or ProcessError::PeerListenFailed.
     */
    static Result<std::unique_ptr<PeerServer>>
    create(const Endpoint &endpoint, ControlMessageSink post, ControlTraffic &traffic);

    /** Ends calls in flight. The control thread must still run or have dropped its messages. */
    ~PeerServer();

    struct SharedState;

private:
    PeerServer();
    void run();

    std::unique_ptr<SharedState> m_shared;
    std::thread m_thread;
};

} // namespace Sapphireladder
