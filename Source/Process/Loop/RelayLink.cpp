#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/**
 * Response timeout. The server holds a response for up to 1 s, and transit takes a few
 * milliseconds. The rest of FreshnessBounds::maxAge is for a query to another VM.
 */
constexpr Duration queryTimeout = 1250ms;
constexpr Duration connectTimeout = 400ms;
constexpr Duration tcpUserTimeout = 3s;
/** Maximum size of a response body. The records of 2,400 targets take about 500 KB. */
constexpr std::size_t maxResponseBytes = 4 * mebibyte;

/** @return how recent a response is. One of an older program version does not state it. */
RelayTimes relayTimesOf(const Response &response, Duration timeSinceQuery)
{
    const auto times = decodeRelayTimes(fieldValue(response.headers, relayTimesHeader));
    if (times)
        return *times;
    RelayTimes now;
    now.fill(timeSinceQuery);
    return now;
}

} // namespace

RelayLink::RelayLink(LoopContext &context, RowMirror &mirror, VmId self, FleetMember member,
                     RelayLinkObserver &observer)
    : m_context(context)
    , m_mirror(mirror)
    , m_self(std::move(self))
    , m_member(std::move(member))
    , m_observer(observer)
{}

RelayLink::~RelayLink()
{
    stop();
}

void RelayLink::start()
{
    m_connection = std::make_shared<UpstreamConnection>(m_context);
    m_connection->open(toTcpEndpoint(m_member.relayEndpoint).value_or(TcpEndpoint()),
                       connectTimeout, tcpUserTimeout);
    sendQuery();
}

void RelayLink::stop()
{
    m_isStopped = true;
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->close();
}

void RelayLink::sendQuery()
{
    RelayQuery query;
    query.vm = m_self;
    query.fleetPosition = m_observer.fleetPosition();
    for (const auto table : rowTables)
        query.positions[static_cast<std::size_t>(table)] = m_mirror.position(table);
    // The first response shows whether the other VM follows the store, so it is requested at once.
    query.isImmediate = !m_completeUntil;
    m_queriedAt = m_context.clock.now();
    UpstreamRequest request;
    request.bytes = "GET " + encodeRelayTarget(query)
                    + " HTTP/1.1\r\nHost: " + m_member.relayEndpoint.toString() + "\r\n";
    if (m_completeUntil)
        request.bytes.append(knownAgeHeader)
                .append(": ")
                .append(std::to_string(toMilliseconds(m_queriedAt - *m_completeUntil)))
                .append("\r\n");
    request.bytes.append(storeErasHeader).append(": ").append(encodeRelayEras(query));
    request.bytes += "\r\n\r\n";
    request.maxResponseBodyBytes = maxResponseBytes;
    m_connection->exchange(std::move(request), queryTimeout,
                           [weak = weak_from_this()](const AttemptResult &result) {
                               if (const auto self = weak.lock())
                                   self->handleResponse(result);
                           });
}

void RelayLink::handleResponse(const AttemptResult &result)
{
    if (m_isStopped)
        return;
    constexpr unsigned ok = 200;
    const auto *answered = std::get_if<Answered>(&result.outcome);
    const bool hasResponse = answered && answered->response.status == ok;
    const auto changes = hasResponse ? decodeRelayChanges(answered->response.body)
                                     : makeError(ProcessError::PeerMessageInvalid);
    // A relay of an older program version may hold rows from before the store's return.
    const bool isUncertain = changes && !changes.value().hasEras && m_mirror.hasChangedEra();
    if (!changes || isUncertain) {
        stop();
        m_observer.linkFailed(m_member);
        return;
    }
    applyChanges(changes.value(),
                 relayTimesOf(answered->response, m_context.clock.now() - m_queriedAt));
    auto fleet = changes.value().fleet;
    if (fleet && !changes.value().hasEras)
        fleet->position.era = m_observer.fleetPosition().era;
    m_observer.fleetReceived(fleet ? &*fleet : nullptr, changes.value().fleetSize);
    if (m_isStopped)
        return;
    if (m_connection->isReusable())
        sendQuery();
    else
        start();
}

void RelayLink::applyChanges(const RelayChanges &changes, const RelayTimes &times)
{
    const auto now = m_context.clock.now();
    auto completeUntil = now;
    bool isOutdated = false;
    for (const auto table : rowTables) {
        const auto i = static_cast<std::size_t>(table);
        // The query was received after it was sent, so that this errs on the early side.
        const auto &received = changes.tables[i];
        auto position = received.position;
        if (!changes.hasEras)
            position.era = m_mirror.position(table).era;
        const TableOrigin origin{m_member.vm, std::min(now, m_queriedAt + times[i]), position.era};
        completeUntil = std::min(completeUntil, origin.completeUntil);
        isOutdated = isOutdated
                     || (m_mirror.isKnown(table) && position.era < m_mirror.position(table).era);
        if (received.isFullTable)
            m_mirror.replaceAll(table, received.rows, position, origin);
        else
            m_mirror.apply(table, received.rows, position, origin);
    }
    // The mirror ignores rows from before the store's return, so they confirm nothing.
    if (!isOutdated)
        m_completeUntil = completeUntil;
}

} // namespace Sapphireladder
