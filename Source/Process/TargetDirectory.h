#pragma once

#include "Core/Core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Sapphireladder {

/** What a target says of itself where it registers. */
struct TargetRecord
{
    TargetId id;
    ServiceName service;
    Endpoint endpoint;
    ZoneName zone;
    /** Requests that the target works on at once. */
    unsigned slots = 1;
    /** The target finishes its requests and gets no new ones. */
    bool isDraining = false;
    /** How much longer the target is slow after its start. */
    Duration warmupLeft{};
    /** Tells apart two lives of a target that keeps its id. 0 if unknown. */
    Incarnation incarnation = 0;

    friend bool operator==(const TargetRecord &, const TargetRecord &) = default;
};

/**
 * The registered targets, as the registry last told. Owned by the control thread.
 *
 * While the registry is away, records of living targets can lapse. They come back shortly after
 * the registry does. If most records of a service were removed meanwhile, they are still used
 * until then. A few removals are believed at once: targets do leave while a VM is cut off.
 */
class TargetDirectory
{
public:
    /**
     * Time after the registry's return during which removals are held back. The platform states
     * that records of living targets are back within about two seconds.
     */
    static constexpr Duration returnGrace = std::chrono::milliseconds(2500);

    /** Replaces all records, after the registry was read as a whole. */
    void replaceAll(std::span<const TargetRecord> records, TimePoint now);
    /** Adds or replaces one record. */
    void put(const TargetRecord &record);
    /** Removes a record, or notes its removal while removals are held back. */
    void remove(const TargetId &id, TimePoint now);
    /** Removes a record at once, since what it holds now names no target. */
    void discard(const TargetId &id);

    /** The registry answers again after it was away: removals are held back for a while. */
    void registryReturned(TimePoint now) { m_holdRemovalsUntil = now + returnGrace; }
    /**
     * Carries out the removals that were held back long enough.
     * @return whether any record was removed.
     */
    bool expire(TimePoint now);
    /** @return when expire() has something to do, or nothing. */
    std::optional<TimePoint> nextExpiry() const;

    /** @return the records in use, ordered by id. */
    std::vector<TargetRecord> records() const;
    std::size_t size() const { return m_entries.size(); }

private:
    /** Records of one service. */
    struct ServiceCount
    {
        std::size_t present = 0;
        std::size_t removed = 0;

        /** So many were removed at once that the registry rather than the targets failed. */
        bool hasLapsed() const { return removed > present; }
    };

    struct Entry
    {
        TargetRecord record;
        /** Set while a removal is held back. */
        std::optional<TimePoint> removeAt;
    };

    std::map<ServiceName, ServiceCount> countServices() const;

    std::map<TargetId, Entry> m_entries;
    TimePoint m_holdRemovalsUntil{};
};

} // namespace Sapphireladder
