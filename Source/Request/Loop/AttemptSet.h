#pragma once

#include "Connection/Loop/ConnectionLoop.h"
#include "Request/Request.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace Sapphireladder {

/** An attempt in progress. */
struct Attempt
{
    /** Number of the attempt, from 1. */
    unsigned number = 0;
    std::shared_ptr<Upstream> upstream;
    std::shared_ptr<UpstreamConnection> connection;
    TimePoint sentAt{};
    /** Cost of the target when the attempt was sent. */
    double cost = 1.0;
    /** The attempt was sent beside another one to cut the latency. */
    bool isLatencyHedge = false;
    /** No response arrived before the stall limit. */
    bool isStalled = false;
};

/** The attempts of one request that are in progress; more than one while a hedge is. */
class AttemptSet
{
public:
    bool isEmpty() const { return m_attempts.empty(); }
    std::span<const Attempt> all() const { return m_attempts; }
    /** @return the attempt in the set, valid until the set is changed. */
    const Attempt &add(Attempt attempt) { return m_attempts.emplace_back(std::move(attempt)); }
    /** Removes an attempt. @return the attempt, or nothing if it is not in progress. */
    std::optional<Attempt> take(unsigned number);
    /** @return the attempt that was sent last; the set must not be empty. */
    Attempt &latest() { return m_attempts.back(); }
    /** @return whether an attempt may still respond in time. */
    bool hasUnstalled() const;
    /** Closes the connections of all attempts. A stalled attempt counts as failed. */
    void closeAll(HealthSignal healthSignal, TimePoint now);

private:
    std::vector<Attempt> m_attempts;
};

} // namespace Sapphireladder
