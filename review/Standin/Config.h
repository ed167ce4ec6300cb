#pragma once

#include <string>
#include <vector>

namespace Review {

/** A route of the operator's config. */
struct ConfigRoute
{
    std::string name;
    std::string prefix;
    /** "safe" or "unsafe". */
    std::string kind;
    std::string service;
    unsigned timeoutMs = 1000;
    unsigned targetLatencyMs = 250;
};

/** @return the value of the row "config". Every service has the health path "/health". */
std::string encodeConfig(unsigned version, const std::vector<std::string> &services,
                         const std::vector<ConfigRoute> &routes);

} // namespace Review
