#pragma once

#include "Connection/Loop/HeadBuffer.h"
#include "Request/Request.h"

#include <string>
#include <vector>

namespace Sapphireladder {

/** One whole request of a caller. */
struct CallerRequest
{
    std::string method;
    /** Path and query, as the caller sent them. */
    std::string target;
    std::string host;
    /** All fields but those that concern only the caller's connection. */
    std::vector<HeaderField> headers;
    std::string body;
    bool keepsConnection = true;
    /** When its first byte arrived. */
    TimePoint arrivedAt{};
};

/** @return whether the field concerns one connection only, so that it is not passed on. */
bool isConnectionField(std::string_view name);

/** Reads one request of a caller, as it arrives. */
class RequestReader
{
public:
    RequestReader(std::size_t headLimit, std::size_t bodyLimit)
        : m_head(headLimit)
        , m_bodyLimit(bodyLimit)
    {}

    /** Takes what belongs to the request off the front of the input. */
    ReadProgress feed(std::string_view &input);
    /** @return why the request cannot be served, after Malformed or TooLarge. */
    RefusalReason fault() const { return m_fault; }
    bool hasStarted() const { return m_hasHead || !m_head.isEmpty(); }
    /** @return whether the caller waits for leave to send the body. Told once. */
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
