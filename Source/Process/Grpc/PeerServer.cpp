#include "Process/Grpc/ProcessGrpc.h"

#include <Peer.grpc.pb.h>

#include <grpcpp/grpcpp.h>

namespace Sapphireladder {

/** State shared by all calls of one server. */
struct PeerServer::SharedState
{
    ControlMessageSink post;
    ControlTraffic *traffic = nullptr;
    peer::Peer::AsyncService service;
    std::unique_ptr<grpc::ServerCompletionQueue> queue;
    std::unique_ptr<grpc::Server> server;
};

namespace {

using SharedState = PeerServer::SharedState;
using Service = peer::Peer::AsyncService;

/** An operation whose completion the queue reports. */
class QueuedOperation
{
public:
    virtual ~QueuedOperation() = default;
    /** @param ok false if the operation was aborted because the server shuts down */
    virtual void proceed(bool ok) = 0;
};

/**
 * One call of a peer: waits for the request, posts it to the control thread and sends the reply.
 * Deletes itself when the call is complete.
 */
template<typename Request, typename Reply>
class PeerCall final : public QueuedOperation
{
public:
    /**
     * Sends the reply at most once. Fails the call if destroyed before, as happens when a control
     * message is dropped.
     */
    class Responder
    {
    public:
        explicit Responder(PeerCall &call)
            : m_call(&call)
        {}
        Responder(const Responder &) = delete;
        Responder &operator=(const Responder &) = delete;
        ~Responder()
        {
            if (m_call)
                m_call->fail();
        }
        void send(const Reply &reply)
        {
            if (auto *call = std::exchange(m_call, nullptr))
                call->send(reply);
        }

    private:
        PeerCall *m_call;
    };

    using ResponderPointer = std::shared_ptr<Responder>;
    using Accept = void (Service::*)(grpc::ServerContext *, Request *,
                                     grpc::ServerAsyncResponseWriter<Reply> *,
                                     grpc::CompletionQueue *, grpc::ServerCompletionQueue *,
                                     void *);
    /** Converts the request to a control message; nothing if the request is invalid. */
    using Translate = std::optional<ControlMessage> (*)(const Request &, ResponderPointer);

    static void acceptNext(SharedState &shared, Accept accept, Translate translate)
    {
        auto *call = new PeerCall(shared, accept, translate);
        (shared.service.*accept)(&call->m_context, &call->m_request, &call->m_writer,
                                 shared.queue.get(), shared.queue.get(), call);
    }

    void proceed(bool ok) override
    {
        if (!ok || m_isAccepted) {
            delete this;
            return;
        }
        m_isAccepted = true;
        acceptNext(m_shared, m_accept, m_translate);
        m_shared.traffic->add(ControlCounter::PeerMessagesReceived);
        m_shared.traffic->add(ControlCounter::PeerBytesReceived, m_request.ByteSizeLong());
        auto message = m_translate(m_request, std::make_shared<Responder>(*this));
        if (message)
            m_shared.post(std::move(*message));
    }

private:
    PeerCall(SharedState &shared, Accept accept, Translate translate)
        : m_shared(shared)
        , m_accept(accept)
        , m_translate(translate)
        , m_writer(&m_context)
    {}

    void send(const Reply &reply)
    {
        m_shared.traffic->add(ControlCounter::PeerMessagesSent);
        m_shared.traffic->add(ControlCounter::PeerBytesSent, reply.ByteSizeLong());
        m_writer.Finish(reply, grpc::Status::OK, this);
    }
    void fail()
    {
        m_writer.FinishWithError(grpc::Status(grpc::StatusCode::RESOURCE_EXHAUSTED, ""), this);
    }

    SharedState &m_shared;
    const Accept m_accept;
    const Translate m_translate;
    grpc::ServerContext m_context;
    Request m_request;
    grpc::ServerAsyncResponseWriter<Reply> m_writer;
    bool m_isAccepted = false;
};

using ExchangeCall = PeerCall<peer::DigestMessage, peer::DigestMessage>;
using PushCall = PeerCall<peer::PushPresetRequest, peer::PushPresetReply>;
using FetchCall = PeerCall<peer::FetchPresetRequest, peer::FetchPresetReply>;

std::optional<ControlMessage> translateExchange(const peer::DigestMessage &request,
                                                ExchangeCall::ResponderPointer responder)
{
    auto digest = decodeDigest(request);
    if (!digest)
        return std::nullopt;
    return DigestReceived{std::move(digest.value()),
                          [responder = std::move(responder)](const auto &reply) {
                              responder->send(encodeDigest(reply));
                          }};
}

std::optional<ControlMessage> translatePush(const peer::PushPresetRequest &request,
                                            PushCall::ResponderPointer responder)
{
    const auto from = Endpoint::parse(request.peer_endpoint());
    if (!from)
        return std::nullopt;
    return PresetPushed{decodeInForceState(request.in_force()), from.value(),
                        [responder = std::move(responder)](PresetVersion applied) {
                            peer::PushPresetReply reply;
                            reply.set_applied_version(applied);
                            responder->send(reply);
                        }};
}

std::optional<ControlMessage> translateFetch(const peer::FetchPresetRequest &request,
                                             FetchCall::ResponderPointer responder)
{
    return PresetTextRequested{ContentDigest(request.digest()),
                               [responder = std::move(responder)](const auto &text) {
                                   peer::FetchPresetReply reply;
                                   reply.set_found(text != nullptr);
                                   if (text)
                                       reply.set_text(*text);
                                   responder->send(reply);
                               }};
}

} // namespace

Result<std::unique_ptr<PeerServer>>
PeerServer::create(const Endpoint &endpoint, ControlMessageSink post, ControlTraffic &traffic)
{
    std::unique_ptr<PeerServer> server(new PeerServer);
    auto &shared = *server->m_shared;
    shared.post = std::move(post);
    shared.traffic = &traffic;
    grpc::ServerBuilder builder;
    // With SO_REUSEPORT, gRPC's default, a second process could bind the same address unnoticed.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    int port = 0;
    builder.AddListeningPort(endpoint.toString(), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&shared.service);
    shared.queue = builder.AddCompletionQueue();
    shared.server = builder.BuildAndStart();
    if (!shared.server || port == 0)
        return makeError(ProcessError::PeerListenFailed, endpoint.toString());
    ExchangeCall::acceptNext(shared, &Service::RequestExchange, translateExchange);
    PushCall::acceptNext(shared, &Service::RequestPushPreset, translatePush);
    FetchCall::acceptNext(shared, &Service::RequestFetchPreset, translateFetch);
    server->m_thread = std::thread([raw = server.get()] { raw->run(); });
    return server;
}

PeerServer::PeerServer()
    : m_shared(std::make_unique<SharedState>())
{}

PeerServer::~PeerServer()
{
    constexpr auto shutdownGrace = std::chrono::milliseconds(200);
    if (m_shared->server)
        m_shared->server->Shutdown(std::chrono::system_clock::now() + shutdownGrace);
    if (m_shared->queue)
        m_shared->queue->Shutdown();
    if (m_thread.joinable())
        m_thread.join();
    else if (m_shared->queue)
        run();
}

void PeerServer::run()
{
    void *tag = nullptr;
    bool ok = false;
    while (m_shared->queue->Next(&tag, &ok))
        static_cast<QueuedOperation *>(tag)->proceed(ok);
}

} // namespace Sapphireladder
