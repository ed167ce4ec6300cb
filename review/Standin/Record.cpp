#include "Record.h"

#include <iomanip>

namespace Review {

void Record::add(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << now() << ' ' << line << '\n' << std::flush;
}

double Record::now() const
{
    return std::chrono::duration<double>(Clock::now() - m_startedAt).count();
}

} // namespace Review
