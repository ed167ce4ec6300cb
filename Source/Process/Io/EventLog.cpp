#include "Process/Io/ProcessIo.h"

#include <glog/logging.h>

namespace Sapphireladder {

void EventLog::initialize(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void EventLog::record(EventId id, std::span<const EventField> fields)
{
    const auto line = formatEvent(id, fields);
    switch (describeEvent(id).severity) {
    case Severity::Info:
        LOG(INFO) << line;
        return;
    case Severity::Warning:
        LOG(WARNING) << line;
        return;
    case Severity::Error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace Sapphireladder
