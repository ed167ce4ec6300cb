#include "Process/Process.h"

#include <algorithm>
#include <tuple>

namespace Sapphireladder {

bool TargetMarks::merge(const TargetMark &mark)
{
    const auto [it, inserted] = m_marks.try_emplace({mark.service, mark.target}, mark);
    if (inserted)
        return true;
    auto &known = it->second;
    if (std::tie(mark.incarnation, mark.leaving) <= std::tie(known.incarnation, known.leaving))
        return false;
    known = mark;
    return true;
}

std::optional<TargetMark> TargetMarks::find(const ServiceName &service,
                                            const TargetId &target) const
{
    const auto it = m_marks.find({service, target});
    return it == m_marks.end() ? std::nullopt : std::optional(it->second);
}

std::size_t TargetMarks::leavingCount() const
{
    const auto n = std::count_if(m_marks.begin(), m_marks.end(),
                                 [](const auto &it) { return it.second.leaving; });
    return static_cast<std::size_t>(n);
}

} // namespace Sapphireladder
