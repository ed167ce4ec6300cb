#include "Process/Grpc/ProcessGrpc.h"

#include <Peer.grpc.pb.h>

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

namespace Sapphireladder {

namespace {

/** One connection to a peer. */
struct PeerChannel
{
    explicit PeerChannel(const Endpoint &endpoint)
        : stub(peer::Peer::NewStub(open(endpoint)))
    {}

    static std::shared_ptr<grpc::Channel> open(const Endpoint &endpoint)
    {
        grpc::ChannelArguments arguments;
        // Channels to one address otherwise share a connection, so a new one would change nothing.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        // A peer that restarts is reached again within a second; gRPC's default is two minutes.
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        // Peers are named by address; a proxy setting of the environment is not meant for them.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        return grpc::CreateCustomChannel(endpoint.toString(), grpc::InsecureChannelCredentials(),
                                         arguments);
    }

    std::unique_ptr<peer::Peer::Stub> stub;
    /** Calls in a row that timed out. Guarded by the client's mutex, as is the next. */
    unsigned timeouts = 0;
    std::uint64_t lastUse = 0;
};

using ChannelPointer = std::shared_ptr<PeerChannel>;

/** A call under way. */
class ClientCall
{
public:
    explicit ClientCall(ChannelPointer usedChannel)
        : channel(std::move(usedChannel))
    {}
    virtual ~ClientCall() = default;
    /** Hands the end of the call to whoever asked for it. */
    virtual void report() = 0;
    virtual std::size_t replySize() const = 0;

    ChannelPointer channel;
    Endpoint peer;
    grpc::ClientContext context;
    grpc::Status status;
};

template<typename Reply>
class TypedCall final : public ClientCall
{
public:
    using End = std::function<void(const TypedCall &call)>;

    TypedCall(ChannelPointer usedChannel, End end)
        : ClientCall(std::move(usedChannel))
        , m_end(std::move(end))
    {}
    void report() override { m_end(*this); }
    std::size_t replySize() const override { return reply.ByteSizeLong(); }

    Reply reply;
    std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> reader;

private:
    End m_end;
};

} // namespace

class PeerClient::Impl
{
public:
    Impl(ControlTraffic &traffic, EventSink &events)
        : m_traffic(traffic)
        , m_events(events)
        , m_thread([this] { run(); })
    {}

    ~Impl()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
            for (auto *it : m_calls)
                it->context.TryCancel();
        }
        m_queue.Shutdown();
        m_thread.join();
    }

    /** Starts a call. @param prepare the stub's member function for it */
    template<typename Request, typename Reply>
    void start(const Endpoint &peer, const Request &request, Duration timeout,
               std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> (peer::Peer::Stub::*prepare)(
                       grpc::ClientContext *, const Request &, grpc::CompletionQueue *),
               typename TypedCall<Reply>::End end)
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        auto call = std::make_unique<TypedCall<Reply>>(channelTo(peer), std::move(end));
        call->peer = peer;
        call->context.set_deadline(std::chrono::system_clock::now() + timeout);
        call->reader = (call->channel->stub.get()->*prepare)(&call->context, request, &m_queue);
        call->reader->StartCall();
        call->reader->Finish(&call->reply, &call->status, static_cast<ClientCall *>(call.get()));
        m_calls.push_back(call.release());
        m_traffic.add(ControlCounter::PeerMessagesSent);
        m_traffic.add(ControlCounter::PeerBytesSent, request.ByteSizeLong());
    }

private:
    ChannelPointer channelTo(const Endpoint &peer)
    {
        auto &channel = m_channels[peer];
        if (!channel)
            channel = std::make_shared<PeerChannel>(peer);
        channel->lastUse = ++m_useCount;
        auto used = channel;
        if (m_channels.size() > channelLimit) {
            m_channels.erase(std::min_element(m_channels.begin(), m_channels.end(),
                                              [](const auto &a, const auto &b) {
                                                  return a.second->lastUse < b.second->lastUse;
                                              }));
        }
        return used;
    }

    void run()
    {
        void *tag = nullptr;
        bool ok = false;
        while (m_queue.Next(&tag, &ok)) {
            const std::unique_ptr<ClientCall> call(static_cast<ClientCall *>(tag));
            finish(*call);
            call->report();
        }
    }

    void finish(ClientCall &call)
    {
        const std::lock_guard lock(m_mutex);
        std::erase(m_calls, &call);
        if (call.status.ok()) {
            m_traffic.add(ControlCounter::PeerMessagesReceived);
            m_traffic.add(ControlCounter::PeerBytesReceived, call.replySize());
            call.channel->timeouts = 0;
            return;
        }
        m_traffic.add(ControlCounter::PeerCallsFailed);
        if (call.status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED
            || ++call.channel->timeouts < timeoutLimit)
            return;
        const auto it = m_channels.find(call.peer);
        if (it == m_channels.end() || it->second != call.channel)
            return;
        m_channels.erase(it);
        m_traffic.add(ControlCounter::PeerChannelsReplaced);
        m_events.record(EventId::PeerChannelReplaced, {{"peer", call.peer.toString()}});
    }

    ControlTraffic &m_traffic;
    EventSink &m_events;

    std::mutex m_mutex;
    bool m_stopping = false;
    std::uint64_t m_useCount = 0;
    std::map<Endpoint, ChannelPointer> m_channels;
    std::vector<ClientCall *> m_calls;
    grpc::CompletionQueue m_queue;
    std::thread m_thread;
};

PeerClient::PeerClient(ControlTraffic &traffic, EventSink &events)
    : m_impl(std::make_unique<Impl>(traffic, events))
{}

PeerClient::~PeerClient() = default;

void PeerClient::exchange(const Endpoint &peer, const Digest &digest, DigestEnd end)
{
    m_impl->start<peer::DigestMessage, peer::DigestMessage>(
            peer, encodeDigest(digest), callTimeout, &peer::Peer::Stub::PrepareAsyncExchange,
            [end = std::move(end)](const auto &call) {
                if (call.status.ok())
                    end(decodeDigest(call.reply));
                else
                    end(makeError(ProcessError::PeerUnavailable, call.peer.toString()));
            });
}

void PeerClient::push(const Endpoint &peer, const ActivePreset &inForce, const Endpoint &self)
{
    peer::PushPresetRequest request;
    *request.mutable_in_force() = encodeInForceState(inForce);
    request.set_peer_endpoint(self.toString());
    m_impl->start<peer::PushPresetRequest, peer::PushPresetReply>(
            peer, request, callTimeout, &peer::Peer::Stub::PrepareAsyncPushPreset,
            [](const auto &) {});
}

void PeerClient::fetch(const Endpoint &peer, const ContentDigest &digest, TextEnd end)
{
    peer::FetchPresetRequest request;
    request.set_digest(digest.string());
    m_impl->start<peer::FetchPresetRequest, peer::FetchPresetReply>(
            peer, request, fetchTimeout, &peer::Peer::Stub::PrepareAsyncFetchPreset,
            [end = std::move(end), digest](const auto &call) {
                if (!call.status.ok())
                    end(makeError(ProcessError::PeerUnavailable, call.peer.toString()));
                else if (!call.reply.found())
                    end(makeError(ProcessError::PresetNotInStore, digest.string()));
                else
                    end(std::string(call.reply.text()));
            });
}

} // namespace Sapphireladder
