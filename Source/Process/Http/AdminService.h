#pragma once

#include "Process/Process.h"

#include <string>
#include <string_view>

namespace Sapphireladder {

/** A response of the admin endpoint. */
struct AdminResponse
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
    virtual AdminResponse ready() = 0;
    virtual AdminResponse status() = 0;
    virtual AdminResponse metrics() = 0;
    virtual AdminResponse listPresets() = 0;
    virtual AdminResponse showPreset(std::string_view name) = 0;
    virtual AdminResponse putPreset(std::string_view name, std::string_view text) = 0;
    virtual AdminResponse activePreset() = 0;
    virtual AdminResponse switchPreset(std::string_view request) = 0;
};

} // namespace Sapphireladder
