#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/** Part of a retry delay that is randomized, so that VMs that failed together do not retry at the
 * same time. Only shortens the delay, whose maximum bounds the time until a VM has recovered. */
constexpr double retryJitter = 0.25;
/** Initial retry delay. By then a connection that the store closed while idle is replaced. */
constexpr Duration initialRetryDelay = 100ms;

} // namespace

TableFollower::TableFollower(LoopContext &context, PlatformStore &store, StoreClock &storeClock,
                             RowMirror &mirror, PlatformFeed &feed, RowTable table,
                             Duration batchDelay, ResponseHandler responseHandler)
    : m_context(context)
    , m_store(store)
    , m_storeClock(storeClock)
    , m_mirror(mirror)
    , m_feed(feed)
    , m_table(table)
    , m_batchDelay(batchDelay)
    , m_responseHandler(std::move(responseHandler))
    , m_timer(context.io)
{}

void TableFollower::start()
{
    m_isRunning = true;
    m_completeUntil.reset();
    m_nextResponseDue.reset();
    m_failureCount = 0;
    if (!m_isCallPending)
        callNext();
}

void TableFollower::stop()
{
    m_isRunning = false;
    m_isCallPending = false;
    m_isYielding = false;
    ++m_generation;
    m_timer.cancel();
    m_rowsRead.clear();
}

void TableFollower::resume()
{
    if (!std::exchange(m_isYielding, false))
        return;
    ++m_generation;
    m_timer.cancel();
    callNext();
}

PlatformStore::RowsHandler
TableFollower::makeHandler(void (TableFollower::*handler)(Result<SourceRows>))
{
    return [this, handler, generation = m_generation](Result<SourceRows> rows) {
        if (generation == m_generation)
            (this->*handler)(std::move(rows));
    };
}

void TableFollower::callNext()
{
    m_isCallPending = false;
    m_isYielding = false;
    if (!m_isRunning)
        return;
    m_isCallPending = true;
    m_calledAt = m_context.clock.now();
    m_wait = Duration::zero();
    if (needsFullRead())
        readPage();
    else
        awaitChanges();
}

void TableFollower::readPage()
{
    m_calledAt = m_context.clock.now();
    const std::string from = m_rowsRead.empty() ? std::string() : m_rowsRead.back().key;
    m_store.readRows(m_table, from, makeHandler(&TableFollower::handlePage));
}

void TableFollower::handlePage(Result<SourceRows> page)
{
    if (!page) {
        m_rowsRead.clear();
        handleFailure(page.error());
        return;
    }
    const bool isOtherEra = !m_rowsRead.empty()
                            && page.value().position.era != m_firstPagePosition.era;
    if (isOutdated(page.value()) || isOtherEra) {
        // The pages of a read must be of one era, and not of an earlier one than the rows known.
        m_rowsRead.clear();
        handleFailure(makeError(ProcessError::StoreResponseInvalid, "era"));
        return;
    }
    auto &rows = page.value().rows;
    if (m_rowsRead.empty()) {
        // Rows that change while later pages are read are delivered again as changes.
        m_firstPagePosition = page.value().position;
        m_firstPageOrigin = originOf(page.value());
    } else if (!rows.empty() && rows.front().key == m_rowsRead.back().key) {
        rows.erase(rows.begin());
    }
    const bool hasNewRows = !rows.empty();
    std::move(rows.begin(), rows.end(), std::back_inserter(m_rowsRead));
    if (page.value().isTruncated && hasNewRows) {
        readPage();
        return;
    }
    m_failureCount = 0;
    m_isHistoryGone = false;
    m_completeUntil = m_firstPageOrigin.completeUntil;
    m_nextResponseDue = m_schedule.next(m_context.clock.now());
    const auto all = std::exchange(m_rowsRead, {});
    m_mirror.replaceAll(m_table, all, m_firstPagePosition, m_firstPageOrigin);
    m_responseHandler();
    callNext();
}

void TableFollower::awaitChanges()
{
    // The first call does not wait, so that the VM learns whether it can reach the store. A call
    // after a failure does not wait either, since this VM counts as failing until then.
    if (m_nextResponseDue && !isFailing())
        m_wait = std::max<Duration>(Duration::zero(), std::chrono::floor<std::chrono::milliseconds>(
                                                              *m_nextResponseDue - m_calledAt));
    m_store.awaitChanges(m_table, m_mirror.position(m_table).version, m_wait,
                         makeHandler(&TableFollower::handleChanges));
}

TableOrigin TableFollower::originOf(const SourceRows &response)
{
    m_storeClock.eraSeen(response.position.era);
    // The store holds a response without changes for the whole wait.
    const auto earliest = response.rows.empty() ? m_calledAt + m_wait : m_calledAt;
    return {{},
            m_storeClock.responseMadeAfter(earliest, m_context.clock.now(), response.storeTime),
            response.position.era};
}

void TableFollower::handleChanges(Result<SourceRows> changes)
{
    if (!changes) {
        m_isHistoryGone = m_store.isHistoryGone(changes.error());
        if (m_isHistoryGone)
            callNext();
        else
            handleFailure(changes.error());
        return;
    }
    if (isOutdated(changes.value())) {
        handleFailure(makeError(ProcessError::StoreResponseInvalid, "era"));
        return;
    }
    if (changes.value().position.era > m_mirror.position(m_table).era) {
        // The store has returned from an older copy, which has other rows and versions.
        m_isHistoryGone = true;
        callNext();
        return;
    }
    m_failureCount = 0;
    const auto origin = originOf(changes.value());
    m_completeUntil = origin.completeUntil;
    const auto now = m_context.clock.now();
    m_nextResponseDue = m_schedule.next(now);
    m_mirror.apply(m_table, changes.value().rows, changes.value().position, origin);
    m_responseHandler();
    if (changes.value().rows.empty())
        callNext();
    else
        scheduleCall(std::min(m_batchDelay, *m_nextResponseDue - now));
}

void TableFollower::handleFailure(const Error &error)
{
    m_feed.dependencyFailed(dependencyOf(m_table), error);
    m_isYielding = m_otherFollower && m_otherFollower->isFailing();
    const auto delay = m_isYielding ? yieldDelay : retryDelay();
    ++m_failureCount;
    scheduleCall(duration_cast<Duration>(delay * (1 - m_random.unit() * retryJitter)));
}

Duration TableFollower::retryDelay() const
{
    const RetryBackoff backoff = needsFullRead() ? RetryBackoff() : m_retryBackoff;
    auto delay = initialRetryDelay;
    for (unsigned i = 0; i < m_failureCount && delay < backoff.maxDelay; ++i)
        delay *= backoff.factor;
    return std::min(delay, backoff.maxDelay);
}

void TableFollower::scheduleCall(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, generation = m_generation](const auto &ec) {
        if (!ec && generation == m_generation)
            callNext();
    });
}

} // namespace Sapphireladder
