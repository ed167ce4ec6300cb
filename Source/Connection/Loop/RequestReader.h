#pragma once

#include "Connection/Loop/HeadBuffer.h"
#include "Request/Request.h"

#include <string>
#include <vector>

namespace Sapphireladder {

/** One complete request of a caller. */
struct CallerRequest
{
    std::string method;
    /** Path and query as received. */
    std::string requestTarget;
    std::string host;
    /** Header fields without the connection-specific ones. */
    std::vector<HeaderField> headers;
    std::string body;
    bool keepsConnection = true;
    /** Arrival time of the first byte. */
    TimePoint arrivedAt{};
};

/** @return whether the field is connection-specific and must not be forwarded. */
bool isConnectionSpecificField(std::string_view name);

/** Incremental parser of one request of a caller. */
class RequestReader
{
public:
    RequestReader(std::size_t maxHeadBytes, std::size_t maxBodyBytes)
        : m_head(maxHeadBytes)
        , m_maxBodyBytes(maxBodyBytes)
    {}

    /** @return memory that the part takes that has been received. */
    std::size_t bufferedBytes() const;
    /** Consumes the bytes of the request from the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return the reason to refuse the request, after feed() returned Malformed or TooLarge. */
    RefusalReason refusalReason() const { return m_refusalReason; }
    bool hasStarted() const { return m_hasHead || !m_head.isEmpty(); }
    /** @return whether an interim 100 (Continue) response is due; true once per request at most. */
    bool takeContinueExpectation();
    /** @return whether the head is complete. */
    bool hasHead() const { return m_hasHead; }
    /** @return the request without its body, once the head is complete. */
    const CallerRequest &head() const { return m_request; }
    CallerRequest takeRequest();

private:
    ReadProgress processHead();

    HeadBuffer m_head;
    std::size_t m_maxBodyBytes;
    bool m_hasHead = false;
    bool m_expectsContinue = false;
    /** Memory of the parsed head. */
    std::size_t m_fieldBytes = 0;
    RefusalReason m_refusalReason = RefusalReason::BadRequest;
    CallerRequest m_request;
    BodyDecoder m_body;
};

} // namespace Sapphireladder
