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

/** One row of a table, or what is left to say of it. */
struct PlatformRow
{
    std::string key;
    std::string value;
    /** Entity tag of the row's version. */
    std::string tag;
};

/** Condition of RFC 9110 on a write. */
struct WriteCondition
{
    /** If-None-Match: *. */
    bool mustNotExist = false;
    /** If-Match, empty if there is none. */
    std::string tag;
};

/** How a write ended. */
struct WriteEnd
{
    unsigned status = 200;
    std::string tag;
};

/** What the platform remembers: tables, objects and the VM list. Used by several threads. */
class PlatformData
{
public:
    std::optional<PlatformRow> readRow(const std::string &table, const std::string &key);
    WriteEnd putRow(const std::string &table, const std::string &key, std::string_view value,
                    const WriteCondition &condition);
    WriteEnd removeRow(const std::string &table, const std::string &key,
                       const WriteCondition &condition);
    std::vector<PlatformRow> listRows(const std::string &table, const std::string &prefix);

    /** Waits until the row is not the one that was read, or until the duration has passed. */
    void waitForChange(const std::string &table, const std::string &key,
                       const std::optional<PlatformRow> &read, Duration duration);

    std::optional<std::string> readObject(const std::string &name);
    void putObject(const std::string &name, std::string_view content);

    /** @param lag age that a list must have @return the newest list of that age. */
    std::string vmList(Duration lag);
    void setVmList(std::string_view list);

    /** Ends every waitForChange(). */
    void stop();

private:
    using Table = std::map<std::string, PlatformRow>;
    struct TimedList
    {
        TimePoint time;
        std::string text;
    };

    const PlatformRow *find(const std::string &table, const std::string &key);
    std::optional<unsigned> failedCondition(const PlatformRow *row,
                                            const WriteCondition &condition) const;

    SteadyClock m_clock;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Table> m_tables;
    std::map<std::string, std::string> m_objects;
    std::vector<TimedList> m_vmLists;
    std::uint64_t m_nextTag = 1;
    bool m_stopped = false;
};

} // namespace Sapphireladder::Testbed
