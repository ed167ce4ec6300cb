#include "Core/Core.h"

namespace Sapphireladder {

std::string Error::toString() const
{
    std::string text;
    if (position)
        text = position->file + ":" + std::to_string(position->line) + ": ";
    text += code.message();
    if (!subject.empty())
        text += ": " + subject;
    return text;
}

} // namespace Sapphireladder
