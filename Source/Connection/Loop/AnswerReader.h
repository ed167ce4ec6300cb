#pragma once

#include "Connection/Loop/HeadBuffer.h"
#include "Request/Request.h"

#include <optional>

namespace Sapphireladder {

/** Reads one answer of a target or of the platform, as it arrives. */
class AnswerReader
{
public:
    /** Largest head of an answer in bytes. */
    static constexpr std::size_t maxHead = 64 * kibibyte;

    /**
     * @param isBodyless the request's method forbids a body in the answer
     * @param bodyLimit largest body in bytes
     */
    AnswerReader(bool isBodyless, std::size_t bodyLimit);

    /** Takes what belongs to the answer off the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** The sender closed the connection in order. @return whether that completes the answer. */
    bool completesByClose() const { return m_hasHead && m_body.completesByClose(); }
    /** @return whether any byte of the answer arrived. */
    bool hasStarted() const { return m_hasHead || !m_head.isEmpty(); }
    /** @return whether the sender keeps the connection open. */
    bool keepsConnection() const { return m_keepsConnection; }
    /** @return how long the sender keeps an idle connection, if it says so. */
    std::optional<Duration> idleTimeout() const { return m_idleTimeout; }
    /** @return the complete answer. */
    Response takeAnswer();

private:
    ReadProgress readHead();

    bool m_isBodyless;
    std::size_t m_bodyLimit;
    HeadBuffer m_head{maxHead};
    bool m_hasHead = false;
    bool m_keepsConnection = false;
    std::optional<Duration> m_idleTimeout;
    Response m_answer;
    BodyDecoder m_body;
};

} // namespace Sapphireladder
