#include "Config.h"

#include "Caller.h"

#include <nlohmann/json.hpp>

namespace Review {

std::string encodeConfig(unsigned version, const std::vector<std::string> &services,
                         const std::vector<ConfigRoute> &routes)
{
    using Json = nlohmann::json;
    auto serviceList = Json::array();
    for (const auto &it : services)
        serviceList.push_back({{"name", it},
                               {"health_path", "/health"},
                               {"max_conns", 220},
                               {"protocol", "h1"},
                               {"tls", false}});
    auto paths = Json::array();
    for (const auto &it : routes)
        paths.push_back({{"name", it.name},
                         {"prefix", it.prefix},
                         {"kind", it.kind},
                         {"timeout_ms", it.timeoutMs},
                         {latencyKey, it.targetLatencyMs},
                         {"priority", 1},
                         {"service", it.service},
                         {"max_attempts", 2}});
    const Json limits = {{"max_header_bytes", 16384},
                         {"max_body_bytes", 67108864},
                         {"header_timeout_ms", 3000},
                         {"idle_timeout_ms", 15000}};
    const Json config = {{"version", version},
                         {"services", serviceList},
                         {"limits", limits},
                         {"hosts", Json::array({{{"host", Caller::host}, {"paths", paths}}})}};
    return config.dump();
}

} // namespace Review
