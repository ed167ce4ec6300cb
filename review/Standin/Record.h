#pragma once

#include "Http.h"

#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/** Writes what was sent, answered and run to a file, one line for each event. */
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path)
    {}

    /** Adds a line with the time since the start of the scenario. */
    void add(const std::string &line);
    /** @return seconds since the start of the scenario. */
    double now() const;

private:
    const Clock::time_point m_startedAt = Clock::now();
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace Review
