#pragma once

#include "Process/Process.h"

#include <functional>
#include <memory>

namespace Sapphireladder {

/** Makes gRPC calls to other VMs. One thread runs their completion handlers. Thread-safe. */
class PeerClient
{
public:
    using DigestHandler = std::function<void(Result<Digest> digest)>;
    using TextHandler = std::function<void(Result<std::string> text)>;

    /** Deadline of calls with small messages. */
    static constexpr Duration callTimeout = std::chrono::seconds(1);
    /** Deadline of the transfer of a preset's text. */
    static constexpr Duration fetchTimeout = std::chrono::seconds(3);
    /** Consecutive timeouts after which a channel is replaced. */
    static constexpr unsigned maxConsecutiveTimeouts = 2;
    /** Maximum number of open channels. Beyond that the least recently used one is closed. */
    static constexpr std::size_t maxChannels = 16;

    /** The references must outlive the client. */
    PeerClient(ControlTraffic &traffic, EventSink &events);
    /** Cancels calls in flight and reports them as failed. */
    ~PeerClient();

    /** Sends a digest. @param handler called once with the peer's digest or an error */
    void exchange(const Endpoint &peer, const Digest &digest, DigestHandler handler);
    /** Announces a switch; failures are ignored. @param self peer endpoint of this VM */
    void push(const Endpoint &peer, const ActivePreset &activePreset, const Endpoint &self);
    /** Requests a preset's text. @param handler called once with the text or an error */
    void fetch(const Endpoint &peer, const ContentDigest &digest, TextHandler handler);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Sapphireladder
