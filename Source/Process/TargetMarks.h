#pragma once

#include "Process/PeerMessages.h"

#include <map>
#include <optional>
#include <utility>

namespace Sapphireladder {

/** Which targets leave. The highest incarnation decides; within one, leaving is never undone. */
class TargetMarks
{
public:
    /** @return whether the mark changed what is known. */
    bool hear(const TargetMark &mark);

    /** @return the mark of the target, or nothing if it was never marked. */
    std::optional<TargetMark> find(const ServiceName &service, const TargetId &target) const;

    /** @return targets that are marked as leaving now. */
    std::size_t leavingCount() const;

private:
    std::map<std::pair<ServiceName, TargetId>, TargetMark> m_marks;
};

} // namespace Sapphireladder
