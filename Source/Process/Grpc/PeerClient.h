#pragma once

#include "Process/Process.h"

#include <functional>
#include <memory>

namespace Sapphireladder {

/** Calls to other VMs. One thread reports their ends. Safe for several threads. */
class PeerClient
{
public:
    using DigestEnd = std::function<void(Result<Digest> end)>;
    using TextEnd = std::function<void(Result<std::string> end)>;

    /** Time that a small call may take. */
    static constexpr Duration callTimeout = std::chrono::seconds(1);
    /** Time that the transfer of a preset's text may take. */
    static constexpr Duration fetchTimeout = std::chrono::seconds(3);
    /** A connection whose calls time out this often in a row is replaced. */
    static constexpr unsigned timeoutLimit = 2;
    /** Channels kept open. Beyond that the least recently used one is closed. */
    static constexpr std::size_t channelLimit = 16;

    /** The references outlive the client. */
    PeerClient(ControlTraffic &traffic, EventSink &events);
    /** Cancels calls under way and reports them as failed. */
    ~PeerClient();

    /** Sends a digest. @param end called once with the peer's digest or an error */
    void exchange(const Endpoint &peer, const Digest &digest, DigestEnd end);
    /** Tells of a switch, without a report of the end. @param self where this VM answers */
    void push(const Endpoint &peer, const ActivePreset &inForce, const Endpoint &self);
    /** Asks for a preset's text. @param end called once with the text or an error */
    void fetch(const Endpoint &peer, const ContentDigest &digest, TextEnd end);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Sapphireladder
