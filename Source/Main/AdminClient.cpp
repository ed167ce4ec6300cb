#include "Main/AdminClient.h"

#include "Process/Process.h"

#include <Poco/Net/HTTPRequest.h>

namespace Sapphireladder {

namespace {

/** Longer than a switch takes with the default store timeout, including all its store calls. */
constexpr Duration adminTimeout = std::chrono::seconds(20);
constexpr std::size_t maxAdminResponseBytes = 16 * mebibyte;

} // namespace

Result<Response> callAdmin(const Endpoint &endpoint, const AdminRequest &request)
{
    const auto deadline = SteadyClock().now() + adminTimeout;
    TRY_ASSIGN(session, UpstreamSession::create(endpoint, deadline));
    Poco::Net::HTTPRequest message(std::string(request.method), request.path,
                                   Poco::Net::HTTPMessage::HTTP_1_1);
    auto result = exchange(*session, message, request.body, maxAdminResponseBytes, deadline);
    auto *response = std::get_if<CompleteResponse>(&result);
    if (!response)
        return makeError(ProcessError::AdminUnavailable, endpoint.toString());
    return Response{response->head.status, {}, std::move(response->body)};
}

} // namespace Sapphireladder
