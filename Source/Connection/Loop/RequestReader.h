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
    std::string target;
    std::string host;
    /** Header fields without the connection-specific ones. */
    std::vector<HeaderField> headers;
    std::string body;
    bool keepsConnection = true;
    /** Arrival time of the first byte. */
    TimePoint arrivedAt{};
};

/** @return whether the field is connection-specific and must not be forwarded. */
bool isConnectionField(std::string_view name);

/** Incremental parser of one request of a caller. */
class RequestReader
{
public:
    RequestReader(std::size_t headLimit, std::size_t bodyLimit)
        : m_head(headLimit)
        , m_bodyLimit(bodyLimit)
    {}

    /** Consumes the bytes of the request from the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return the reason to refuse the request, after feed() returned Malformed or TooLarge. */
    RefusalReason fault() const { return m_fault; }
    bool hasStarted() const { return m_hasHead || !m_head.isEmpty(); }
    /** @return whether an interim 100 (Continue) answer is due; true once per request at most. */
    bool takeContinueWish();
    CallerRequest takeRequest();

private:
    ReadProgress readHead();

    HeadBuffer m_head;
    std::size_t m_bodyLimit;
    bool m_hasHead = false;
    bool m_wantsContinue = false;
    RefusalReason m_fault = RefusalReason::BadRequest;
    CallerRequest m_request;
    BodyDecoder m_body;
};

} // namespace Sapphireladder
