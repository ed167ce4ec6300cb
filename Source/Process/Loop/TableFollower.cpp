#include "Process/Loop/ProcessLoop.h"

#include <algorithm>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

/**
 * Default long-poll wait. A shorter wait costs more store calls, which are charged; a longer one
 * delays the detection of a lost response.
 */
constexpr Duration longWait = 10s;
/** Initial retry delay. By then a connection that the store closed while idle is replaced. */
constexpr Duration firstRetryDelay = 100ms;

} // namespace

TableFollower::TableFollower(LoopContext &context, PlatformStore &store, RowMirror &mirror,
                             PlatformFeed &feed, RowTable table, Duration gatherTime,
                             AnswerHandler answered)
    : m_context(context)
    , m_store(store)
    , m_mirror(mirror)
    , m_feed(feed)
    , m_table(table)
    , m_gatherTime(gatherTime)
    , m_answered(std::move(answered))
    , m_timer(context.io)
    , m_wait(longWait)
{}

void TableFollower::start()
{
    m_isRunning = true;
    m_answeredAt.reset();
    m_failures = 0;
    if (!m_isBusy)
        callNext();
}

void TableFollower::stop()
{
    m_isRunning = false;
    m_isBusy = false;
    m_hasYielded = false;
    ++m_generation;
    m_timer.cancel();
    m_pages.clear();
}

void TableFollower::resume()
{
    if (!std::exchange(m_hasYielded, false))
        return;
    ++m_generation;
    m_timer.cancel();
    callNext();
}

PlatformStore::RowsHandler
TableFollower::handlerFor(void (TableFollower::*handler)(Result<SourceRows>))
{
    return [this, handler, generation = m_generation](Result<SourceRows> rows) {
        if (generation == m_generation)
            (this->*handler)(std::move(rows));
    };
}

void TableFollower::callNext()
{
    m_isBusy = false;
    m_hasYielded = false;
    if (!m_isRunning)
        return;
    m_isBusy = true;
    if (needsRead())
        readPage();
    else
        awaitChanges();
}

void TableFollower::readPage()
{
    const std::string from = m_pages.empty() ? std::string() : m_pages.back().key;
    m_store.readRows(m_table, from, handlerFor(&TableFollower::pageRead));
}

void TableFollower::pageRead(Result<SourceRows> page)
{
    if (!page) {
        m_pages.clear();
        callFailed(page.error());
        return;
    }
    auto &rows = page.value().rows;
    if (m_pages.empty()) {
        // Rows that change while later pages are read are delivered again as changes.
        m_readPosition = page.value().position;
    } else if (!rows.empty() && rows.front().key == m_pages.back().key) {
        rows.erase(rows.begin());
    }
    const bool isProgress = !rows.empty();
    std::move(rows.begin(), rows.end(), std::back_inserter(m_pages));
    if (page.value().isTruncated && isProgress) {
        readPage();
        return;
    }
    m_failures = 0;
    m_isHistoryGone = false;
    m_answeredAt = m_context.clock.now();
    const auto all = std::exchange(m_pages, {});
    m_mirror.replaceAll(m_table, all, m_readPosition);
    m_answered();
    callNext();
}

void TableFollower::awaitChanges()
{
    // The first call does not wait, so that the VM learns whether it can reach the store. The
    // batching delay counts towards the wait, so that the responses to a relaying VM are never
    // further apart than its wait.
    const auto sinceAnswer = m_answeredAt ? m_context.clock.now() - *m_answeredAt : m_wait;
    // A call after a failure does not wait either, since this VM counts as failing until then.
    const auto wait = isFailing() ? Duration::zero()
                                  : std::max(Duration::zero(), m_wait - sinceAnswer);
    m_store.awaitChanges(m_table, m_mirror.position(m_table), wait,
                         handlerFor(&TableFollower::changesRead));
}

void TableFollower::changesRead(Result<SourceRows> changes)
{
    if (!changes) {
        m_isHistoryGone = m_store.isHistoryGone(changes.error());
        if (m_isHistoryGone)
            callNext();
        else
            callFailed(changes.error());
        return;
    }
    m_failures = 0;
    m_answeredAt = m_context.clock.now();
    m_mirror.apply(m_table, changes.value().rows, changes.value().position);
    m_answered();
    if (changes.value().rows.empty())
        callNext();
    else
        callAfter(m_gatherTime);
}

void TableFollower::callFailed(const Error &error)
{
    m_feed.dependencyFailed(dependencyOf(m_table), error);
    m_hasYielded = m_other && m_other->isFailing();
    const auto delay = m_hasYielded ? yieldTime : retryDelay();
    ++m_failures;
    // Jitter of 25 % keeps VMs that failed together from retrying at the same time.
    callAfter(duration_cast<Duration>(delay * (0.75 + m_random.unit() / 2)));
}

Duration TableFollower::retryDelay() const
{
    const RetryBackoff backoff = needsRead() ? RetryBackoff() : m_retryBackoff;
    auto delay = firstRetryDelay;
    for (unsigned i = 0; i < m_failures && delay < backoff.maxDelay; ++i)
        delay *= backoff.factor;
    return std::min(delay, backoff.maxDelay);
}

void TableFollower::callAfter(Duration delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this, generation = m_generation](const auto &ec) {
        if (!ec && generation == m_generation)
            callNext();
    });
}

} // namespace Sapphireladder
