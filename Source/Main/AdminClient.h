#pragma once

#include "Connection/Http/ConnectionHttp.h"

namespace Sapphireladder {

/** A request of the command line to a VM's admin endpoint. */
struct AdminRequest
{
    std::string_view method;
    std::string path;
    std::string_view body;
};

/** @return status and body, or ProcessError::AdminUnavailable. */
Result<Response> callAdmin(const Endpoint &endpoint, const AdminRequest &request);

} // namespace Sapphireladder
