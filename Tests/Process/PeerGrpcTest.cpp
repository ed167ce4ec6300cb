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

class IgnoredEvents final : public EventSink
{
public:
    void record(EventId, std::span<const EventField>) override {}
};

/** Waits for the ends of calls. */
class Latch
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
    static Digest digest()
    {
        Digest message;
        message.sender = {VmId("vm-0"), 3, {"127.0.0.1", 7000}, ZoneName("kolkata-dc"), 8, true};
        message.inForce.version = 5;
        message.inForce.digest = ContentDigest(std::string(32, 'a'));
        message.members.push_back(message.sender);
        message.marks.push_back({ServiceName("botolchin"), TargetId("target-1"), 2, false});
        return message;
    }

    static Endpoint freeEndpoint()
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
        return {"127.0.0.1", socket.address().port()};
    }

    ControlTraffic traffic;
    IgnoredEvents events;
    Latch ended;
    PeerClient client{traffic, events};
};

// Guards against fields lost in the encoding, and against calls answered with another's reply.
TEST_CASE_FIXTURE(PeerGrpcFixture,
                  "exchange and fetch, with a peer, give what the control thread replies")
{
    const auto endpoint = freeEndpoint();
    const auto text = std::make_shared<const std::string>(200 * kibibyte, 'x');
    const auto post = [&](ControlMessage message) {
        if (auto *heard = std::get_if<DigestHeard>(&message))
            heard->reply(heard->digest);
        else if (auto *asked = std::get_if<PresetAsked>(&message))
            asked->reply(asked->digest == ContentDigest("known") ? text : nullptr);
        return true;
    };
    const auto server = PeerServer::create(endpoint, post, traffic);
    REQUIRE(server);
    const auto sent = digest();
    Result<Digest> answer = makeError(ProcessError::PeerUnavailable);
    Result<std::string> known = makeError(ProcessError::PeerUnavailable);
    Result<std::string> unknown = std::string();
    client.exchange(endpoint, sent, [&](auto end) { answer = std::move(end), ended.signal(); });
    client.fetch(endpoint, ContentDigest("known"),
                 [&](auto end) { known = std::move(end), ended.signal(); });
    client.fetch(endpoint, ContentDigest("unknown"),
                 [&](auto end) { unknown = std::move(end), ended.signal(); });
    REQUIRE(ended.waitFor(3));
    REQUIRE(answer);
    CHECK(encodeDigest(answer.value()).SerializeAsString()
          == encodeDigest(sent).SerializeAsString());
    REQUIRE(known);
    CHECK(known.value() == *text);
    CHECK_FALSE(unknown);
}

// Guards against callers that hang, and a server that cannot stop, when messages are dropped.
TEST_CASE_FIXTURE(PeerGrpcFixture, "exchange, with a full mailbox at the peer, fails")
{
    const auto endpoint = freeEndpoint();
    const auto server = PeerServer::create(
            endpoint, [](const ControlMessage &) { return false; }, traffic);
    REQUIRE(server);
    bool failed = false;
    client.exchange(endpoint, digest(),
                    [&](const auto &end) { failed = !end.has_value(), ended.signal(); });
    REQUIRE(ended.waitFor(1));
    CHECK(failed);
}

// Guards against a peer connection that went silent for good and is used forever (F6).
TEST_CASE_FIXTURE(PeerGrpcFixture, "exchange, with two timeouts, opens a new channel")
{
    const auto endpoint = freeEndpoint();
    std::vector<ControlMessage> unanswered;
    const auto post = [&](ControlMessage message) {
        unanswered.push_back(std::move(message));
        return true;
    };
    const auto server = PeerServer::create(endpoint, post, traffic);
    REQUIRE(server);
    for (int i = 1; i <= 2; ++i) {
        client.exchange(endpoint, digest(), [&](const auto &) { ended.signal(); });
        REQUIRE(ended.waitFor(i));
    }
    CHECK(traffic.value(ControlCounter::PeerChannelsReplaced) == 1);
    CHECK(traffic.value(ControlCounter::PeerMessagesReceived) == 2);
    unanswered.clear();
}

// Guards against a size bound that the encoding exceeds.
TEST_CASE("encodeDigest, of a full digest, stays within the size limit")
{
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    DigestState state;
    const Member member{VmId("vm"),       largest, {"255.255.255.255", 65535},
                        ZoneName("zone"), largest, true};
    for (int i = 0; i < 100; ++i) {
        auto other = member;
        other.vm = VmId("vm-" + std::to_string(i));
        state.noteMember(other);
        state.noteMark({ServiceName("s"), TargetId(std::to_string(i)), largest, false});
    }
    ActivePreset inForce;
    inForce.version = largest;
    inForce.digest = ContentDigest(std::string(32, 'a'));
    const auto digest = state.build(member, inForce);
    const auto size = encodeDigest(digest).ByteSizeLong();
    CHECK(size <= DigestState::sizeBound(digest));
    CHECK(size <= DigestState::sizeLimit);
    CHECK(size > DigestState::sizeLimit / 2);
}

TEST_SUITE_END();
