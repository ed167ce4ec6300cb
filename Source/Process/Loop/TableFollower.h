#pragma once

#include "Connection/Loop/ConnectionLoop.h"
#include "Process/Process.h"

namespace Sapphireladder {

/** Follows one table of the store into the mirror: reads it once, then waits for its changes. */
class TableFollower
{
public:
    /** The references outlive the follower. */
    TableFollower(LoopContext &context, PlatformStore &store, RowMirror &mirror, PlatformFeed &feed,
                  RowTable table, Duration gatherTime);

    /** Reads the table once. */
    void read();
    /** Reads the table if that was not done, and goes on with its changes. */
    void start();
    /** Makes no further calls after the one in work. */
    void stop() { m_isRunning = false; }
    bool isRunning() const { return m_isRunning; }
    /** @param wait time that the store may hold back an answer without changes */
    void setWait(Duration wait) { m_wait = wait; }
    /** @return when the store last answered, or nothing. */
    std::optional<TimePoint> answeredAt() const { return m_answeredAt; }

private:
    void callNext();
    void readPage();
    void pageRead(Result<SourceRows> page);
    void awaitChanges();
    void changesRead(Result<SourceRows> changes);
    void callFailed(const Error &error);
    void callAfter(Duration delay);

    LoopContext &m_context;
    PlatformStore &m_store;
    RowMirror &m_mirror;
    PlatformFeed &m_feed;
    const RowTable m_table;
    const Duration m_gatherTime;
    LoopTimer m_timer;
    RandomSource m_random = RandomSource::fromSystem();
    Duration m_wait;
    bool m_isRunning = false;
    /** A call or a timer for one is out. */
    bool m_isBusy = false;
    bool m_needsRead = true;
    std::vector<SourceRow> m_pages;
    /** Position of the first page. */
    std::uint64_t m_readPosition = 0;
    std::optional<TimePoint> m_answeredAt;
    unsigned m_failures = 0;
};

} // namespace Sapphireladder
