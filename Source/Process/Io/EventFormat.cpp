#include "Process/Io/ProcessIo.h"

namespace Sapphireladder {

namespace {

/** Appends the value, quoted if it is empty or has characters that separate fields. */
void appendValue(std::string &line, std::string_view value)
{
    if (value.find_first_of(" \"\n\r=") == std::string_view::npos && !value.empty()) {
        line += value;
        return;
    }
    line += '"';
    for (const char it : value) {
        if (it == '"' || it == '\\')
            line += '\\';
        line += it == '\n' || it == '\r' ? ' ' : it;
    }
    line += '"';
}

} // namespace

std::string formatEvent(EventId id, std::span<const EventField> fields)
{
    std::string line = "E" + std::to_string(static_cast<int>(id)) + ' ';
    line += describeEvent(id).name;
    for (const auto &it : fields) {
        line += ' ';
        line += it.name;
        line += '=';
        appendValue(line, it.value);
    }
    return line;
}

} // namespace Sapphireladder
