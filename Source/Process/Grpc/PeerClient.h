#pragma once

#include "Process/Process.h"

#include <functional>
#include <memory>

namespace Sapphireladder {

/** Makes gRPC calls to other VMs. One thread runs their completion handlers. Thread-safe. */
class PeerClient
{
public:
    using DigestEnd = std::function<void(Result<Digest> end)>;
    using TextEnd = std::function<void(Result<std::string> end)>;

    /** Deadline of calls with small messages. */
    static constexpr Duration callTimeout = std::chrono::seconds(1);
    /** Deadline of the transfer of a preset's text. */
    static constexpr Duration fetchTimeout = std::chrono::seconds(3);
    /** Consecutive timeouts after which a channel is replaced. */
    static constexpr unsigned timeoutLimit = 2;
    /** Maximum number of open channels. Beyond that the least recently used one is closed. */
    static constexpr std::size_t channelLimit = 16;

    /** The references must outlive the client. */
    PeerClient(ControlTraffic &traffic, EventSink &events);
    /** Cancels calls in flight and reports them as failed. */
    ~PeerClient();

    /** Sends a digest. @param end called once with the peer's digest or an error */
    void exchange(const Endpoint &peer, const Digest &digest, DigestEnd end);
    /** Announces a switch; failures are ignored. @param self peer endpoint of this VM */
    void push(const Endpoint &peer, const InForce &inForce, const Endpoint &self);
    /** Requests a preset's text. @param end called once with the text or an error */
    void fetch(const Endpoint &peer, const ContentDigest &digest, TextEnd end);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Sapphireladder
