#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Sapphireladder {

/** One header field of a message, independent of how the message is encoded. */
struct HeaderField
{
    std::string name;
    std::string value;
};

/** @return the value of the first field of this name, or null if there is none. */
const std::string *findField(std::span<const HeaderField> fields, std::string_view name);

/** @return the value of the first field of this name, or the fallback if there is none. */
std::string_view fieldValue(std::span<const HeaderField> fields, std::string_view name,
                            std::string_view fallback = {});

/** @return bytes of memory that the fields take. */
std::size_t memoryOf(std::span<const HeaderField> fields);

} // namespace Sapphireladder
