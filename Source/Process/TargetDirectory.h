#pragma once

#include "Core/Core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Sapphireladder {

/** A target's record in the registry. */
struct TargetRecord
{
    TargetId id;
    ServiceName service;
    Endpoint endpoint;
    ZoneName zone;
    /** Requests that the target processes concurrently. */
    unsigned slots = 1;
    /** The target finishes its requests and must not receive new ones. */
    bool isDraining = false;
    /** Remaining warm-up time, during which the target is slow. */
    Duration warmupLeft{};
    /** Distinguishes restarts of a target under the same id. 0 if unknown. */
    Incarnation incarnation = 0;

    friend bool operator==(const TargetRecord &, const TargetRecord &) = default;
};

/**
 * The registered targets, as last reported by the registry. Used by the control thread only.
 *
 * During an outage of the registry, records of live targets can expire. They are registered again
 * shortly after the registry recovers. If most records of a service were removed during the
 * outage, they therefore stay in use until then. If only a few were removed, the removals take
 * effect at once, because targets do leave while a VM is disconnected.
 */
class TargetDirectory
{
public:
    /**
     * Time after the registry's recovery during which removals are deferred. The platform
     * guarantees that live targets are registered again within about two seconds.
     */
    static constexpr Duration removalGracePeriod = std::chrono::milliseconds(2500);

    /** Replaces all records after a complete read of the registry. */
    void replaceAll(std::span<const TargetRecord> records, TimePoint now);
    /**
     * Adds or replaces one record. A target that drains does so until it ends: a record that says
     * otherwise of the same incarnation is from an older copy of the registry.
     */
    void put(const TargetRecord &record);
    /** Removes a record, or schedules its removal while removals are deferred. */
    void remove(const TargetId &id, TimePoint now);
    /**
     * Removes a record immediately, because its new content is invalid.
     * @return whether there was one.
     */
    bool discard(const TargetId &id);

    /** The registry recovered from an outage: defers removals for a while. */
    void registryRecovered(TimePoint now) { m_deferRemovalsUntil = now + removalGracePeriod; }
    /**
     * Performs deferred removals that are due.
     * @return whether any record was removed.
     */
    bool expire(TimePoint now);
    /** @return when the next deferred removal is due, or nothing. */
    std::optional<TimePoint> nextExpiry() const;

    /** @return the records in use, ordered by id. */
    std::vector<TargetRecord> records() const;
    std::size_t size() const { return m_entries.size(); }

private:
    /** Number of records of one service. */
    struct ServiceCount
    {
        std::size_t present = 0;
        std::size_t removed = 0;

        /** Whether so many were removed that an outage of the registry is the likely cause. */
        bool isOutageLikely() const { return removed > present; }
    };

    struct Entry
    {
        TargetRecord record;
        /** Set while a removal is deferred. */
        std::optional<TimePoint> removeAt;
    };

    std::map<ServiceName, ServiceCount> countServices() const;

    std::map<TargetId, Entry> m_entries;
    TimePoint m_deferRemovalsUntil{};
};

} // namespace Sapphireladder
