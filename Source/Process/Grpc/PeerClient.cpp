#include "Process/Grpc/ProcessGrpc.h"

#include <Peer.grpc.pb.h>

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <thread>

namespace Sapphireladder {

namespace {

/** A gRPC channel to a peer. */
struct PeerChannel
{
    explicit PeerChannel(const Endpoint &endpoint)
        : stub(peer::Peer::NewStub(open(endpoint)))
    {}

    static std::shared_ptr<grpc::Channel> open(const Endpoint &endpoint)
    {
        grpc::ChannelArguments arguments;
        // By default channels to one address share a connection, so a replacement would reuse the
        // unresponsive one.
        arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
        // Reconnects to a restarted peer within a second; gRPC's default backoff grows to two
        // minutes.
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 1000);
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        // Peers are reached directly, whatever proxy the environment sets.
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        return grpc::CreateCustomChannel(endpoint.toString(), grpc::InsecureChannelCredentials(),
                                         arguments);
    }

    std::unique_ptr<peer::Peer::Stub> stub;
    /** Consecutive calls that timed out. Guarded by the client's mutex, as is lastUse. */
    unsigned consecutiveTimeouts = 0;
    /** Value of the client's use counter at the last use, to find the channel to close. */
    std::uint64_t lastUse = 0;
};

using PeerChannelPointer = std::shared_ptr<PeerChannel>;

/** A call in flight, independent of the type of its reply. */
class ClientCall
{
public:
    explicit ClientCall(PeerChannelPointer callChannel)
        : channel(std::move(callChannel))
    {}
    virtual ~ClientCall() = default;
    /** Passes the result to the caller's completion handler. */
    virtual void complete() = 0;
    virtual std::size_t replySize() const = 0;

    PeerChannelPointer channel;
    Endpoint peer;
    grpc::ClientContext context;
    grpc::Status status;
};

template<typename Reply>
class TypedCall final : public ClientCall
{
public:
    using Handler = std::function<void(const TypedCall &call)>;

    TypedCall(PeerChannelPointer callChannel, Handler handler)
        : ClientCall(std::move(callChannel))
        , m_handler(std::move(handler))
    {}
    void complete() override { m_handler(*this); }
    std::size_t replySize() const override { return reply.ByteSizeLong(); }

    Reply reply;
    std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> reader;

private:
    Handler m_handler;
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
            m_isStopping = true;
            for (auto *it : m_calls)
                it->context.TryCancel();
        }
        m_queue.Shutdown();
        m_thread.join();
    }

    /** Starts a call. @param prepare member function of the stub that prepares the call */
    template<typename Request, typename Reply>
    void start(const Endpoint &peer, const Request &request, Duration timeout,
               std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>> (peer::Peer::Stub::*prepare)(
                       grpc::ClientContext *, const Request &, grpc::CompletionQueue *),
               typename TypedCall<Reply>::Handler handler)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping)
            return;
        auto call = std::make_unique<TypedCall<Reply>>(channelTo(peer), std::move(handler));
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
    PeerChannelPointer channelTo(const Endpoint &peer)
    {
        auto &channel = m_channels[peer];
        if (!channel)
            channel = std::make_shared<PeerChannel>(peer);
        channel->lastUse = ++m_useCount;
        auto used = channel;
        if (m_channels.size() > maxChannels) {
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
            recordResult(*call);
            call->complete();
        }
    }

    void recordResult(ClientCall &call)
    {
        const std::lock_guard lock(m_mutex);
        std::erase(m_calls, &call);
        if (call.status.ok()) {
            m_traffic.add(ControlCounter::PeerMessagesReceived);
            m_traffic.add(ControlCounter::PeerBytesReceived, call.replySize());
            call.channel->consecutiveTimeouts = 0;
            return;
        }
        m_traffic.add(ControlCounter::PeerCallsFailed);
        if (call.status.error_code() != grpc::StatusCode::DEADLINE_EXCEEDED
            || ++call.channel->consecutiveTimeouts < maxConsecutiveTimeouts)
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
    bool m_isStopping = false;
    std::uint64_t m_useCount = 0;
    std::map<Endpoint, PeerChannelPointer> m_channels;
    std::vector<ClientCall *> m_calls;
    grpc::CompletionQueue m_queue;
    std::thread m_thread;
};

PeerClient::PeerClient(ControlTraffic &traffic, EventSink &events)
    : m_impl(std::make_unique<Impl>(traffic, events))
{}

PeerClient::~PeerClient() = default;

void PeerClient::exchange(const Endpoint &peer, const Digest &digest, DigestHandler handler)
{
    m_impl->start<peer::DigestMessage, peer::DigestMessage>(
            peer, encodeDigest(digest), callTimeout, &peer::Peer::Stub::PrepareAsyncExchange,
            [handler = std::move(handler)](const auto &call) {
                if (call.status.ok())
                    handler(decodeDigest(call.reply));
                else
                    handler(makeError(ProcessError::PeerUnavailable, call.peer.toString()));
            });
}

void PeerClient::push(const Endpoint &peer, const ActivePreset &activePreset, const Endpoint &self)
{
    peer::PushPresetRequest request;
    *request.mutable_in_force() = encodeInForceState(activePreset);
    request.set_peer_endpoint(self.toString());
    m_impl->start<peer::PushPresetRequest, peer::PushPresetReply>(
            peer, request, callTimeout, &peer::Peer::Stub::PrepareAsyncPushPreset,
            [](const auto &) {});
}

void PeerClient::fetch(const Endpoint &peer, const ContentDigest &digest, TextHandler handler)
{
    peer::FetchPresetRequest request;
    request.set_digest(digest.string());
    m_impl->start<peer::FetchPresetRequest, peer::FetchPresetReply>(
            peer, request, fetchTimeout, &peer::Peer::Stub::PrepareAsyncFetchPreset,
            [handler = std::move(handler), digest](const auto &call) {
                if (!call.status.ok())
                    handler(makeError(ProcessError::PeerUnavailable, call.peer.toString()));
                else if (!call.reply.found())
                    handler(makeError(ProcessError::PresetNotInStore, digest.string()));
                else
                    handler(std::string(call.reply.text()));
            });
}

} // namespace Sapphireladder
