#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

/** Time that an answer without changes is held back. It bounds how late a silent VM is noticed. */
constexpr Duration holdTime = std::chrono::seconds(1);

} // namespace

class RelayServer::Waiting final
    : public PendingRequestHandle
    , public std::enable_shared_from_this<Waiting>
{
public:
    Waiting(RelayServer &server, RelayQuery query, ReplyHandler reply)
        : m_server(server)
        , m_query(query)
        , m_reply(std::move(reply))
        , m_timer(server.m_context.io)
    {}

    void start()
    {
        m_timer.expires_after(holdTime);
        m_timer.async_wait([weak = weak_from_this()](const auto &ec) {
            const auto self = weak.lock();
            if (self && !ec)
                self->answer(true);
        });
    }

    /** Answers if there is something to tell. @param isDue answers also without changes */
    void answer(bool isDue)
    {
        if (!m_reply)
            return;
        auto outcome = m_server.outcomeFor(m_query, isDue);
        if (!outcome)
            return;
        m_timer.cancel();
        const auto reply = std::exchange(m_reply, nullptr);
        reply({std::move(*outcome), {}});
    }

    void cancel() override
    {
        m_reply = nullptr;
        m_timer.cancel();
    }

private:
    RelayServer &m_server;
    const RelayQuery m_query;
    ReplyHandler m_reply;
    LoopTimer m_timer;
};

RelayServer::RelayServer(LoopContext &context, const RowMirror &mirror, RelaySource &source)
    : m_context(context)
    , m_mirror(mirror)
    , m_source(source)
    , m_listener(context, [this](TcpSocket socket) {
        auto session = std::make_shared<CallerSession>(m_context, std::move(socket), *this, *this);
        m_sessions.insert(session);
        session->start();
    })
{}

RelayServer::~RelayServer() = default;

std::shared_ptr<PendingRequestHandle> RelayServer::handle(CallerRequest request, ReplyHandler reply)
{
    const auto query = decodeRelayTarget(request.requestTarget);
    if (!query) {
        reply({Refusal{RefusalReason::UnknownService}, {}});
        return nullptr;
    }
    m_source.asked();
    auto waiting = std::make_shared<Waiting>(*this, *query, std::move(reply));
    m_waiting.push_back(waiting);
    waiting->start();
    waiting->answer(false);
    return waiting;
}

std::optional<RequestOutcome> RelayServer::outcomeFor(const RelayQuery &query, bool isDue) const
{
    const auto state = m_source.relayState();
    if (state == RelayState::Starting && !isDue)
        return std::nullopt;
    if (state != RelayState::Close)
        return Refusal{RefusalReason::NoPreset};
    RelayChanges changes;
    bool hasRows = false;
    for (const auto table : rowTables) {
        const auto i = static_cast<std::size_t>(table);
        auto rows = m_mirror.changesSince(table, query.positions[i]);
        const bool isWhole = !rows;
        if (isWhole)
            rows = m_mirror.allRows(table);
        hasRows = hasRows || isWhole || !rows->empty();
        changes.tables[i] = {m_mirror.position(table), std::move(*rows), isWhole};
    }
    if (!hasRows && !isDue && !query.isImmediate)
        return std::nullopt;
    return textAnswer(encodeRelayChanges(changes));
}

void RelayServer::answerWaiting()
{
    // An answer may bring the next request of the same VM into the list.
    auto waiting = std::exchange(m_waiting, {});
    for (const auto &it : waiting) {
        const auto request = it.lock();
        if (!request)
            continue;
        m_waiting.push_back(request);
        request->answer(false);
    }
    std::erase_if(m_waiting, [](const auto &it) { return it.expired(); });
}

void RelayServer::sessionEnded(const std::shared_ptr<CallerSession> &session)
{
    m_sessions.erase(session);
}

void RelayServer::close()
{
    m_isStopping = true;
    m_listener.close();
}

} // namespace Sapphireladder
