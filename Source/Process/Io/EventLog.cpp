#include "Process/Io/ProcessIo.h"

#include <glog/logging.h>

#include <sstream>

namespace Sapphireladder {

namespace {

/** Quotes a value that would not read as one word. */
void writeValue(std::ostream &out, std::string_view value)
{
    if (value.find_first_of(" \"\n\r=") == std::string_view::npos && !value.empty()) {
        out << value;
        return;
    }
    out << '"';
    for (const char it : value) {
        if (it == '"' || it == '\\')
            out << '\\';
        out << (it == '\n' || it == '\r' ? ' ' : it);
    }
    out << '"';
}

} // namespace

void EventLog::initialize(const char *program)
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program);
}

void EventLog::record(EventId id, std::span<const EventField> fields)
{
    const auto &description = describeEvent(id);
    std::ostringstream line;
    line << 'E' << static_cast<int>(id) << ' ' << description.name;
    for (const auto &it : fields) {
        line << ' ' << it.name << '=';
        writeValue(line, it.value);
    }
    switch (description.severity) {
    case Severity::Info:
        LOG(INFO) << line.str();
        return;
    case Severity::Warning:
        LOG(WARNING) << line.str();
        return;
    case Severity::Error:
        LOG(ERROR) << line.str();
        return;
    }
}

} // namespace Sapphireladder
