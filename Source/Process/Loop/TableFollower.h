#pragma once

#include "Connection/Loop/ConnectionLoop.h"
#include "Process/Process.h"

#include <functional>

namespace Sapphireladder {

/** How calls that fail are repeated. */
struct RetryPace
{
    /** Longest time between two calls. */
    Duration longest = std::chrono::seconds(1);
    /** Factor by which the time between two calls grows. */
    unsigned growth = 2;
};

/** Follows one table of the store into the mirror: reads it once, then waits for its changes. */
class TableFollower
{
public:
    /** Called after each answer of the store. */
    using AnswerHandler = std::function<void()>;

    /** Time between calls of a follower that yields. The store may have lost one table only. */
    static constexpr Duration yieldTime = std::chrono::seconds(5);

    /** The references outlive the follower. */
    TableFollower(LoopContext &context, PlatformStore &store, RowMirror &mirror, PlatformFeed &feed,
                  RowTable table, Duration gatherTime, AnswerHandler answered);

    /** Reads the table if nothing is known of it, and goes on with its changes. */
    void start();
    /** Makes no further calls. The answer of one in work is dropped. */
    void stop();
    bool isRunning() const { return m_isRunning; }
    /** @return whether the newest call failed. */
    bool isFailing() const { return m_failures > 0; }
    /** @param wait time that the store may hold back an answer without changes */
    void setWait(Duration wait) { m_wait = wait; }
    /** @param pace used once the table is known; a VM that serves nobody yet asks often */
    void setRetryPace(const RetryPace &pace) { m_retryPace = pace; }
    /**
     * While calls of the other follower fail too, this one calls seldom: both reach one store, and
     * the other one's answer says that it is back.
     */
    void yieldTo(const TableFollower &other) { m_other = &other; }
    /** The other follower was answered: goes on at once if this one yielded. */
    void resume();
    /** @return when the store last answered since the start, or nothing. */
    std::optional<TimePoint> answeredAt() const { return m_answeredAt; }

private:
    bool needsRead() const { return m_isHistoryGone || !m_mirror.isKnown(m_table); }
    void callNext();
    void readPage();
    /** @return a handler that drops the answer if the follower was stopped meanwhile. */
    PlatformStore::RowsHandler handlerFor(void (TableFollower::*handler)(Result<SourceRows>));
    void pageRead(Result<SourceRows> page);
    void awaitChanges();
    void changesRead(Result<SourceRows> changes);
    void callFailed(const Error &error);
    /** @return time until the next call, after the failures so far. */
    Duration retryDelay() const;
    void callAfter(Duration delay);

    LoopContext &m_context;
    PlatformStore &m_store;
    RowMirror &m_mirror;
    PlatformFeed &m_feed;
    const RowTable m_table;
    const Duration m_gatherTime;
    AnswerHandler m_answered;
    LoopTimer m_timer;
    RandomSource m_random = RandomSource::fromSystem();
    Duration m_wait;
    RetryPace m_retryPace;
    const TableFollower *m_other = nullptr;
    bool m_isRunning = false;
    /** A call or a timer for one is out. */
    bool m_isBusy = false;
    /** Waits for the other follower's answer. */
    bool m_hasYielded = false;
    /** Counts stops and resumptions, so that answers and timers of before are known. */
    std::uint64_t m_generation = 0;
    /** Changes since the known position can't be had any more. */
    bool m_isHistoryGone = false;
    std::vector<SourceRow> m_pages;
    /** Position of the first page. */
    std::uint64_t m_readPosition = 0;
    std::optional<TimePoint> m_answeredAt;
    unsigned m_failures = 0;
};

} // namespace Sapphireladder
