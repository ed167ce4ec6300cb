#pragma once

#include "Connection/Http/UpstreamSession.h"
#include "Request/Http/RequestHttp.h"
#include "Request/Request.h"

#include <Poco/Net/HTTPRequest.h>

#include <string>
#include <string_view>
#include <variant>

namespace Sapphireladder {

/** A response that was received completely. */
struct CompleteResponse
{
    ResponseHead head;
    std::string body;
    /** Whether the connection can carry another request. */
    bool isReusable = false;
};

/** Result of an exchange. NotRun means that no byte was passed to the kernel. */
using ExchangeResult = std::variant<CompleteResponse, NotRun, Unknown>;

/**
 * Sends one request on a connection and reads its response.
 * @param session an open connection with no exchange in progress
 * @param message head of the request; the function sets the framing fields
 * @param body body of the request
 * @param maxResponseBodyBytes maximum size of the response's body in bytes
 * @param deadline time by which the response must be complete
 * @return the complete response, or the reason why there is none.
 */
ExchangeResult exchange(UpstreamSession &session, Poco::Net::HTTPRequest &message,
                        std::string_view body, std::size_t maxResponseBodyBytes,
                        TimePoint deadline);

} // namespace Sapphireladder
