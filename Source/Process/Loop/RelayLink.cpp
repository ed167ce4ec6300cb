#include "Process/Loop/ProcessLoop.h"

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/** Time for an answer: a VM holds it back for 1 s, and the way takes a few milliseconds. */
constexpr Duration askTimeout = 1500ms;
constexpr Duration connectTimeout = 400ms;
constexpr Duration silenceLimit = 3s;
/** Largest answer in bytes: records of 2,400 targets have about 500 KB. */
constexpr std::size_t answerLimit = 4 * mebibyte;

} // namespace

RelayLink::RelayLink(LoopContext &context, RowMirror &mirror, FleetMember member,
                     FailureHandler failed)
    : m_context(context)
    , m_mirror(mirror)
    , m_member(std::move(member))
    , m_failed(std::move(failed))
{}

RelayLink::~RelayLink()
{
    stop();
}

void RelayLink::start()
{
    m_connection = std::make_shared<UpstreamConnection>(m_context);
    m_connection->open(toTcpEndpoint(m_member.relayEndpoint).value_or(TcpEndpoint()),
                       connectTimeout, silenceLimit);
    ask();
}

void RelayLink::stop()
{
    m_isStopped = true;
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->close();
}

void RelayLink::ask()
{
    RelayQuery query;
    for (const auto table : rowTables)
        query.positions[static_cast<std::size_t>(table)] = m_mirror.position(table);
    // The first answer tells whether the VM may be relied on.
    query.isImmediate = !m_answeredAt;
    UpstreamRequest request;
    request.bytes = "GET " + encodeRelayTarget(query)
                    + " HTTP/1.1\r\nHost: " + m_member.relayEndpoint.toString() + "\r\n\r\n";
    request.maxAnswerBodyBytes = answerLimit;
    m_connection->exchange(std::move(request), askTimeout,
                           [weak = weak_from_this()](const AttemptResult &result) {
                               if (const auto self = weak.lock())
                                   self->answered(result);
                           });
}

void RelayLink::answered(const AttemptResult &result)
{
    if (m_isStopped)
        return;
    constexpr unsigned ok = 200;
    const auto *answer = std::get_if<Answered>(&result.end);
    const bool isAnswered = answer && answer->answer.status == ok;
    const auto changes = isAnswered ? decodeRelayChanges(answer->answer.body)
                                    : makeError(ProcessError::PeerAnswerInvalid);
    if (!changes) {
        stop();
        m_failed(m_member);
        return;
    }
    m_answeredAt = m_context.clock.now();
    for (const auto table : rowTables) {
        const auto &told = changes.value().tables[static_cast<std::size_t>(table)];
        if (told.isWhole)
            m_mirror.replaceAll(table, told.rows, told.position);
        else
            m_mirror.apply(table, told.rows, told.position);
    }
    if (m_isStopped)
        return;
    if (m_connection->isReusable())
        ask();
    else
        start();
}

} // namespace Sapphireladder
