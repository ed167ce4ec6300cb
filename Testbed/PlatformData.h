#pragma once

#include "Core/Core.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sapphireladder::Testbed {

/** One row of a table. */
struct PlatformRow
{
    std::string key;
    std::string value;
    /** Entity tag of this version of the row. */
    std::string tag;
};

/** Precondition of a write as in RFC 9110. */
struct WriteCondition
{
    /** Set by the header If-None-Match: *. */
    bool mustNotExist = false;
    /** Value of the header If-Match, or empty. */
    std::string tag;
};

/** Result of a write. */
struct WriteResult
{
    unsigned status = 200;
    std::string tag;
};

/** State of the platform: tables, objects and the VM list. Thread-safe. */
class PlatformData
{
public:
    std::optional<PlatformRow> readRow(const std::string &table, const std::string &key);
    WriteResult putRow(const std::string &table, const std::string &key, std::string_view value,
                       const WriteCondition &condition);
    WriteResult removeRow(const std::string &table, const std::string &key,
                          const WriteCondition &condition);
    std::vector<PlatformRow> listRows(const std::string &table, const std::string &prefix);

    /** Waits until the row differs from the one that was read, for at most the duration. */
    void waitForChange(const std::string &table, const std::string &key,
                       const std::optional<PlatformRow> &read, Duration duration);

    std::optional<std::string> readObject(const std::string &name);
    void putObject(const std::string &name, std::string_view content);

    /**
     * @param lag minimum age of the list
     * @return the newest list of at least that age, or an empty JSON list.
     */
    std::string vmList(Duration lag);
    void setVmList(std::string_view list);

    /** Ends all pending waitForChange() calls. */
    void stop();

private:
    using Table = std::map<std::string, PlatformRow>;
    struct TimestampedList
    {
        TimePoint time;
        std::string text;
    };

    const PlatformRow *find(const std::string &table, const std::string &key);
    /** @return the HTTP status of a write whose precondition fails, or nothing if it holds. */
    std::optional<unsigned> preconditionErrorStatus(const PlatformRow *row,
                                                    const WriteCondition &condition) const;

    SteadyClock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Table> m_tables;
    std::map<std::string, std::string> m_objects;
    std::vector<TimestampedList> m_vmLists;
    std::uint64_t m_nextTag = 1;
    bool m_stopped = false;
};

} // namespace Sapphireladder::Testbed
