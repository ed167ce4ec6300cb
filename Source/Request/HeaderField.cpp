#include "Request/Request.h"

#include <algorithm>

namespace Sapphireladder {

const std::string *findField(std::span<const HeaderField> fields, std::string_view name)
{
    const auto it = std::find_if(fields.begin(), fields.end(), [name](const auto &field) {
        return equalsIgnoringCase(field.name, name);
    });
    return it == fields.end() ? nullptr : &it->value;
}

std::string_view fieldValue(std::span<const HeaderField> fields, std::string_view name,
                            std::string_view fallback)
{
    const auto *value = findField(fields, name);
    return value ? std::string_view(*value) : fallback;
}

std::size_t memoryOf(std::span<const HeaderField> fields)
{
    std::size_t bytes = fields.size_bytes();
    for (const auto &it : fields)
        bytes += it.name.size() + it.value.size();
    return bytes;
}

} // namespace Sapphireladder
