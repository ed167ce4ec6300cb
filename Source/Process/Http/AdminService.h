#pragma once

#include "Process/Process.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** A response of the admin endpoint. */
struct AdminReply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/** Operations of the admin endpoint. They may block for the duration of a few store calls. */
class AdminService
{
public:
    virtual ~AdminService() = default;
    virtual AdminReply ready() = 0;
    virtual AdminReply status() = 0;
    virtual AdminReply metrics() = 0;
    virtual AdminReply listPresets() = 0;
    virtual AdminReply showPreset(std::string_view name) = 0;
    virtual AdminReply putPreset(std::string_view name, std::string_view text) = 0;
    virtual AdminReply activePreset() = 0;
    virtual AdminReply switchPreset(std::string_view request) = 0;
};

} // namespace Sapphireladder
