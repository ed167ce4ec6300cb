#pragma once

#include "Connection/Loop/BodyDecoder.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** Collects the head of one message from a connection's input, as it arrives. */
class HeadBuffer
{
public:
    /** @param limit largest head in bytes */
    explicit HeadBuffer(std::size_t limit)
        : m_limit(limit)
    {}

    /** Takes what belongs to the head off the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return the lines of a complete head, each with its end, without the empty line. */
    std::string_view lines() const;
    bool isEmpty() const { return m_text.empty(); }
    void clear() { m_text.clear(); }

private:
    std::size_t m_limit;
    std::string m_text;
};

} // namespace Sapphireladder
