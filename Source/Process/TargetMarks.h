#pragma once

#include "Process/PeerMessages.h"

#include <map>
#include <optional>
#include <utility>

namespace Sapphireladder {

/** Targets reported as leaving or live. The highest incarnation wins; in one, leaving is final. */
class TargetMarks
{
public:
    /** @return whether the mark was newer than the known one. */
    bool merge(const TargetMark &mark);

    /** @return the newest mark of the target, or nothing if there is none. */
    std::optional<TargetMark> find(const ServiceName &service, const TargetId &target) const;

    /** @return number of targets currently marked as leaving. */
    std::size_t leavingCount() const;

private:
    std::map<std::pair<ServiceName, TargetId>, TargetMark> m_marks;
};

} // namespace Sapphireladder
