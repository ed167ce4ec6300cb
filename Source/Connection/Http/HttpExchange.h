#pragma once

#include "Connection/Http/UpstreamSession.h"
#include "Request/Request.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <string>
#include <string_view>
#include <variant>

namespace Sapphireladder {

/** An answer that was received to its end. */
struct WholeAnswer
{
    Poco::Net::HTTPResponse head;
    std::string body;
    /** Whether the connection can carry another request. */
    bool reusable = false;
};

/** Result of an exchange. NotRun means that no byte was passed to the kernel. */
using ExchangeEnd = std::variant<WholeAnswer, NotRun, Unknown>;

/**
 * Sends one request on a connection and reads its answer.
 * @param session an open connection with no exchange in progress
 * @param message head of the request; the function sets the framing fields
 * @param body body of the request
 * @param bodyLimit maximum size of the answer's body in bytes
 * @param deadline time by which the answer must be complete
 * @return the complete answer, or the reason why there is none.
 */
ExchangeEnd exchange(UpstreamSession &session, Poco::Net::HTTPRequest &message,
                     std::string_view body, std::size_t bodyLimit, TimePoint deadline);

} // namespace Sapphireladder
