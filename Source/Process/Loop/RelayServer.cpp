#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

/** Maximum wait before an empty response. It bounds the time to detect an unresponsive VM. */
constexpr Duration maxHoldTime = std::chrono::seconds(1);
/** Responses kept encoded. VMs that lag behind send queries with different positions. */
constexpr std::size_t maxCachedResponses = 16;

std::optional<Duration> findKnownAge(std::span<const HeaderField> headers)
{
    constexpr std::uint64_t maxAgeMs = 1'000'000'000;
    const auto ms = parseUnsigned(fieldValue(headers, knownAgeHeader));
    if (!ms || ms.value() > maxAgeMs)
        return std::nullopt;
    return std::chrono::milliseconds(ms.value());
}

} // namespace

class RelayServer::PendingQuery final
    : public PendingRequestHandle
    , public std::enable_shared_from_this<PendingQuery>
{
public:
    PendingQuery(RelayServer &server, RelayQuery query, ReplyHandler reply)
        : m_server(server)
        , m_query(std::move(query))
        , m_receivedAt(server.m_context.clock.now())
        , m_reply(std::move(reply))
        , m_timer(server.m_context.io)
    {}

    void start()
    {
        m_timer.expires_after(maxHoldTime);
        m_timer.async_wait([weak = weak_from_this()](const auto &ec) {
            const auto self = weak.lock();
            if (self && !ec)
                self->respond(true);
        });
    }

    /** Responds if there are changes. @param isTimedOut whether to respond even without changes */
    void respond(bool isTimedOut)
    {
        if (!m_reply)
            return;
        auto outcome = m_server.outcomeFor(m_query, m_receivedAt, isTimedOut);
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
    const TimePoint m_receivedAt;
    ReplyHandler m_reply;
    LoopTimer m_timer;
};

RelayServer::RelayServer(LoopContext &context, const RowMirror &mirror, RelayHost &host,
                         Duration minRecencyGain)
    : m_context(context)
    , m_mirror(mirror)
    , m_host(host)
    , m_minRecencyGain(minRecencyGain)
    , m_listener(context, [this](TcpSocket socket) {
        auto session = std::make_shared<CallerSession>(m_context, std::move(socket), *this, *this);
        m_sessions.insert(session);
        session->start();
    })
{}

RelayServer::~RelayServer() = default;

std::shared_ptr<PendingRequestHandle> RelayServer::handle(CallerRequest request, ReplyHandler reply)
{
    auto query = decodeRelayTarget(request.requestTarget);
    if (!query) {
        reply({Refusal{RefusalReason::UnknownService}, {}});
        return nullptr;
    }
    query->knownAge = findKnownAge(request.headers);
    decodeRelayEras(fieldValue(request.headers, storeErasHeader), *query);
    if (!query->hasEras) {
        // An older program version knows no eras. It gets the changes by the version alone.
        for (const auto table : rowTables)
            query->positions[static_cast<std::size_t>(table)].era = m_mirror.position(table).era;
        query->fleetPosition.era = m_host.fleet().position.era;
    }
    m_host.queryReceived(query->vm);
    auto pending = std::make_shared<PendingQuery>(*this, *query, std::move(reply));
    m_pendingQueries.push_back(pending);
    pending->start();
    pending->respond(false);
    return pending;
}

bool RelayServer::isBehind(const RelayQuery &query) const
{
    return std::any_of(rowTables.begin(), rowTables.end(), [&](auto table) {
        return query.positions[static_cast<std::size_t>(table)].era > m_mirror.position(table).era;
    });
}

bool RelayServer::isMoreRecent(const RelayQuery &query, TimePoint receivedAt) const
{
    if (!query.knownAge)
        return false;
    const auto knownUntil = receivedAt - *query.knownAge;
    return std::all_of(rowTables.begin(), rowTables.end(), [&](auto table) {
        return m_host.completeUntil(table) - knownUntil >= m_minRecencyGain;
    });
}

RequestOutcome RelayServer::makeResponse(std::string body, TimePoint receivedAt) const
{
    RelayTimes times;
    for (const auto table : rowTables)
        times[static_cast<std::size_t>(table)] = m_host.completeUntil(table) - receivedAt;
    auto response = textResponse(std::move(body));
    response.headers.push_back({std::string(relayTimesHeader), encodeRelayTimes(times)});
    return response;
}

std::optional<RequestOutcome> RelayServer::outcomeFor(const RelayQuery &query, TimePoint receivedAt,
                                                      bool isTimedOut)
{
    const auto state = m_host.relayState();
    if (state == RelayState::Starting && !isTimedOut)
        return std::nullopt;
    if (state != RelayState::UpToDate)
        return Refusal{RefusalReason::NoPreset};
    // This VM's rows would go back behind what the other VM knows. Its next response of the store
    // brings the new ones.
    if (isBehind(query))
        return isTimedOut ? std::optional<RequestOutcome>(Refusal{RefusalReason::NoPreset})
                          : std::nullopt;
    const auto changes = changesFor(query);
    if (changes)
        return makeResponse(*changes, receivedAt);
    if (!isTimedOut && !query.isImmediate && !isMoreRecent(query, receivedAt))
        return std::nullopt;
    RelayChanges nothing;
    nothing.fleetSize = m_host.fleetSize();
    for (const auto table : rowTables)
        nothing.tables[static_cast<std::size_t>(table)].position = m_mirror.position(table);
    return makeResponse(encodeRelayChanges(nothing), receivedAt);
}

std::shared_ptr<const std::string> RelayServer::changesFor(const RelayQuery &query)
{
    CacheKey key = {m_host.fleetSize()};
    const auto add = [&key](const StorePosition &position) {
        key.push_back(position.era);
        key.push_back(position.version);
    };
    add(query.fleetPosition);
    add(m_host.fleet().position);
    for (const auto table : rowTables) {
        add(query.positions[static_cast<std::size_t>(table)]);
        add(m_mirror.position(table));
    }
    const auto it = m_cache.find(key);
    if (it != m_cache.end())
        return it->second;
    if (m_cache.size() >= maxCachedResponses)
        m_cache.clear();
    bool hasNews = false;
    auto text = encodeChanges(query, hasNews);
    auto changes = hasNews ? std::make_shared<const std::string>(std::move(text)) : nullptr;
    return m_cache.emplace(std::move(key), std::move(changes)).first->second;
}

std::string RelayServer::encodeChanges(const RelayQuery &query, bool &hasNews) const
{
    RelayChanges changes;
    for (const auto table : rowTables) {
        const auto i = static_cast<std::size_t>(table);
        auto rows = m_mirror.changesSince(table, query.positions[i]);
        const bool isFullTable = !rows;
        if (isFullTable)
            rows = m_mirror.allRows(table);
        hasNews = hasNews || isFullTable || !rows->empty();
        changes.tables[i] = {m_mirror.position(table), std::move(*rows), isFullTable};
    }
    changes.fleetSize = m_host.fleetSize();
    if (m_host.fleet().position > query.fleetPosition) {
        changes.fleet = m_host.fleet();
        hasNews = true;
    }
    return encodeRelayChanges(changes);
}

void RelayServer::respondToPending()
{
    // Responding may add the same VM's next query to the list.
    auto pending = std::exchange(m_pendingQueries, {});
    for (const auto &it : pending) {
        const auto query = it.lock();
        if (!query)
            continue;
        m_pendingQueries.push_back(query);
        query->respond(false);
    }
    std::erase_if(m_pendingQueries, [](const auto &it) { return it.expired(); });
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
