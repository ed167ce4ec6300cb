#pragma once

#include "Connection/Http/UpstreamSession.h"
#include "Request/Request.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>
#include <string_view>
#include <variant>

namespace Sapphireladder {

/** An answer whose end was seen. */
struct WholeAnswer
{
    Poco::Net::HTTPResponse head;
    std::string body;
    /** The connection may carry another request. */
    bool reusable = false;
};

/** How an exchange ended. NotRun means that no byte was handed to the socket. */
using ExchangeEnd = std::variant<WholeAnswer, NotRun, Unknown>;

/**
 * Sends one request on a connection and reads its answer.
 * @param session an open connection with nothing in flight
 * @param message head of the request; the function sets the framing
 * @param body body of the request
 * @param bodyLimit largest answer body in bytes
 * @param deadline time by which the answer must be whole
 * @return the whole answer or why there is none.
 */
ExchangeEnd exchange(UpstreamSession &session, Poco::Net::HTTPRequest &message,
                     std::string_view body, std::size_t bodyLimit, TimePoint deadline);

} // namespace Sapphireladder
