#pragma once

#include "Connection/Loop/BodyDecoder.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** Accumulates the head of one message as its bytes arrive. */
class HeadBuffer
{
public:
    /** @param maxBytes maximum size of the head */
    explicit HeadBuffer(std::size_t maxBytes)
        : m_maxBytes(maxBytes)
    {}

    /** Consumes the bytes of the head from the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return the lines of a complete head with their line ends, without the final empty line. */
    std::string_view lines() const;
    std::size_t size() const { return m_text.size(); }
    bool isEmpty() const { return m_text.empty(); }
    /** Drops the text and its memory. */
    void clear() { std::string().swap(m_text); }

private:
    std::size_t m_maxBytes;
    std::string m_text;
};

} // namespace Sapphireladder
