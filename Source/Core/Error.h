#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace Sapphireladder {

/** A position in a text file; lines are counted from 1. */
struct FilePosition
{
    std::string file;
    std::size_t line = 0;
};

/**
 * An error. The code is a value of the error enum of the library that failed; the subject names
 * what the error concerns, such as a key, a file or an address.
 */
struct Error
{
    std::error_code code;
    std::string subject;
    std::optional<FilePosition> position;

    /** @return "file:line: message: subject", without the parts that are not set. */
    std::string toString() const;
};

/** Message of one value of an error enum. */
template<typename Enum>
struct ErrorText
{
    Enum value;
    std::string_view text;
};

/** An error category with a table of messages. */
template<typename Enum>
class TableErrorCategory final : public std::error_category
{
public:
    /**
     * @param name name of the library whose errors these are
     * @param texts table with static lifetime
     */
    constexpr TableErrorCategory(const char *name, std::span<const ErrorText<Enum>> texts)
        : m_name(name)
        , m_texts(texts)
    {}

    const char *name() const noexcept override { return m_name; }
    std::string message(int value) const override
    {
        for (const auto &it : m_texts) {
            if (static_cast<int>(it.value) == value)
                return std::string(it.text);
        }
        return "unknown error";
    }

private:
    const char *m_name;
    std::span<const ErrorText<Enum>> m_texts;
};

} // namespace Sapphireladder
