#pragma once

#include "Connection/Loop/HeadBuffer.h"
#include "Request/Request.h"

#include <optional>

namespace Sapphireladder {

/** Incremental parser of one response from a target or from the platform. */
class ResponseReader
{
public:
    static constexpr std::size_t maxHeadBytes = 64 * kibibyte;
    /** Interim (1xx) responses accepted before the final one. */
    static constexpr unsigned maxInterimResponses = 8;

    /**
     * @param isBodyless whether the method of the request forbids a body in the response
     * @param maxBodyBytes maximum size of the body
     */
    ResponseReader(bool isBodyless, std::size_t maxBodyBytes);

    /** @return memory that the part takes that has been received. */
    std::size_t bufferedBytes() const
    {
        return m_head.size() + m_fieldBytes + m_body.bufferedBytes();
    }
    /** Consumes the bytes of the response from the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return whether an orderly close of the connection completes the response. */
    bool isCompletedByClose() const { return m_hasHead && m_body.isCompletedByClose(); }
    /** @return whether any byte of the response has arrived. */
    bool hasStarted() const { return m_hasHead || !m_head.isEmpty(); }
    /** @return whether the sender keeps the connection open. */
    bool keepsConnection() const { return m_keepsConnection; }
    /** @return the idle timeout from the sender's Keep-Alive field, if present. */
    std::optional<Duration> idleTimeout() const { return m_idleTimeout; }
    /** @return the complete response. */
    Response takeResponse();

private:
    ReadProgress processHead();

    bool m_isBodyless;
    std::size_t m_maxBodyBytes;
    HeadBuffer m_head{maxHeadBytes};
    unsigned m_interimCount = 0;
    bool m_hasHead = false;
    /** Memory of the parsed head. */
    std::size_t m_fieldBytes = 0;
    bool m_keepsConnection = false;
    std::optional<Duration> m_idleTimeout;
    Response m_response;
    BodyDecoder m_body;
};

} // namespace Sapphireladder
