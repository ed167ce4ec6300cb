#include "Process/Grpc/ProcessGrpc.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include <Poco/Net/ServerSocket.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

namespace {

class NullEventSink final : public EventSink
{
public:
    void record(EventId, std::span<const EventField>) override {}
};

/** Waits for the completion of calls. */
class CompletionCounter
{
public:
    void signal()
    {
        {
            const std::lock_guard lock(m_mutex);
            ++m_count;
        }
        m_changed.notify_all();
    }
    bool waitFor(int count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 30s, [&] { return m_count >= count; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_count = 0;
};

} // namespace

struct PeerGrpcFixture
{
    static Digest makeDigest()
    {
        Digest digest;
        digest.sender = {VmId("vm-0"), 3, {"127.0.0.1", 7000}, ZoneName("kolkata-dc"), 8, true};
        digest.applied.version = 5;
        digest.applied.digest = ContentDigest(std::string(32, 'a'));
        digest.members.push_back(digest.sender);
        digest.marks.push_back({ServiceName("botolchin"), TargetId("target-1"), 2, false});
        return digest;
    }

    static Endpoint freeEndpoint()
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        return {"127.0.0.1", socket.address().port()};
    }

    ControlTraffic traffic;
    NullEventSink events;
    CompletionCounter completed;
    PeerClient client{traffic, events};
};

// Guards against fields lost in the encoding, and against replies delivered to the wrong call.
TEST_CASE_FIXTURE(PeerGrpcFixture,
                  "exchange and fetch, with a peer, return the control thread's replies")
{
    const auto endpoint = freeEndpoint();
    const auto text = std::make_shared<const std::string>(200 * kibibyte, 'x');
    const auto post = [&](ControlMessage message) {
        if (auto *received = std::get_if<DigestReceived>(&message))
            received->reply(received->digest);
        else if (auto *requested = std::get_if<PresetTextRequested>(&message))
            requested->reply(requested->digest == ContentDigest("known") ? text : nullptr);
        return true;
    };
    const auto server = PeerServer::create(endpoint, post, traffic);
    REQUIRE(server);
    const auto sent = makeDigest();
    Result<Digest> reply = makeError(ProcessError::PeerUnavailable);
    Result<std::string> known = makeError(ProcessError::PeerUnavailable);
    Result<std::string> unknown = std::string();
    client.exchange(endpoint, sent,
                    [&](auto result) { reply = std::move(result), completed.signal(); });
    client.fetch(endpoint, ContentDigest("known"),
                 [&](auto result) { known = std::move(result), completed.signal(); });
    client.fetch(endpoint, ContentDigest("unknown"),
                 [&](auto result) { unknown = std::move(result), completed.signal(); });
    REQUIRE(completed.waitFor(3));
    REQUIRE(reply);
    CHECK(encodeDigest(reply.value()).SerializeAsString()
          == encodeDigest(sent).SerializeAsString());
    REQUIRE(known);
    CHECK(known.value() == *text);
    CHECK_FALSE(unknown);
}

// Guards against dropped messages that leave the caller waiting and the server unable to stop.
TEST_CASE_FIXTURE(PeerGrpcFixture, "exchange, with a full mailbox at the peer, fails")
{
    const auto endpoint = freeEndpoint();
    const auto server = PeerServer::create(
            endpoint, [](const ControlMessage &) { return false; }, traffic);
    REQUIRE(server);
    bool failed = false;
    client.exchange(endpoint, makeDigest(),
                    [&](const auto &result) { failed = !result.has_value(), completed.signal(); });
    REQUIRE(completed.waitFor(1));
    CHECK(failed);
}

// Guards against the endless use of a peer connection that no longer responds.
TEST_CASE_FIXTURE(PeerGrpcFixture, "exchange, with two timeouts, opens a new channel")
{
    const auto endpoint = freeEndpoint();
    std::vector<ControlMessage> pending;
    const auto post = [&](ControlMessage message) {
        pending.push_back(std::move(message));
        return true;
    };
    const auto server = PeerServer::create(endpoint, post, traffic);
    REQUIRE(server);
    for (int i = 1; i <= 2; ++i) {
        client.exchange(endpoint, makeDigest(), [&](const auto &) { completed.signal(); });
        REQUIRE(completed.waitFor(i));
    }
    CHECK(traffic.value(ControlCounter::PeerChannelsReplaced) == 1);
    CHECK(traffic.value(ControlCounter::PeerMessagesReceived) == 2);
    pending.clear();
}

// Guards against an encoding that exceeds the computed size bound.
TEST_CASE("encodeDigest, of a full digest, stays within the size limit")
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    DigestBuilder builder;
    const Member member{VmId("vm"),       largest, {"255.255.255.255", 65535},
                        ZoneName("zone"), largest, true};
    for (int i = 0; i < 100; ++i) {
        auto other = member;
        other.vm = VmId("vm-" + std::to_string(i));
        builder.updateMember(other);
        builder.updateMark({ServiceName("s"), TargetId(std::to_string(i)), largest, false});
    }
    ActivePreset activePreset;
    activePreset.version = largest;
    activePreset.digest = ContentDigest(std::string(32, 'a'));
    const auto digest = builder.build(member, activePreset);
    const auto size = encodeDigest(digest).ByteSizeLong();
    CHECK(size <= DigestBuilder::encodedSizeBound(digest));
    CHECK(size <= DigestBuilder::maxEncodedBytes);
    CHECK(size > DigestBuilder::maxEncodedBytes / 2);
}

TEST_SUITE_END();
