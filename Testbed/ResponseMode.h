#pragma once

#include "Request/HeaderField.h"
#include "Testbed/TestHttpServer.h"

#include <span>
#include <string>
#include <vector>

namespace Sapphireladder::Testbed {

/** A response that has not been sent yet. */
struct TargetResponse
{
    std::vector<HeaderField> headers;
    std::string body;
};

/** Sends a response, either correctly or with one kind of fault. */
class ResponseSender
{
public:
    virtual ~ResponseSender() = default;
    /**
     * @param context the request and its connection
     * @param response response that a correct target sends
     * @param earlier response to an earlier request, or a placeholder before the first
     */
    virtual void send(const HttpExchangeContext &context, const TargetResponse &response,
                      const TargetResponse &earlier) const = 0;
};

/** A named way to send a response. */
struct ResponseMode
{
    std::string_view name;
    const ResponseSender &sender;
};

/** @return all modes; the first one sends correct responses. */
std::span<const ResponseMode> responseModes();

inline std::span<const ResponseMode> tableOf(const ResponseMode *)
{
    return responseModes();
}

} // namespace Sapphireladder::Testbed
