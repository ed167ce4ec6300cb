#include "Process/Yaml/ProcessYaml.h"

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

void readSeedPeers(YamlSection &root, Settings &settings)
{
    for (const auto &it : root.items("seed_peers")) {
        const auto endpoint = Endpoint::parse(it.IsScalar() ? it.Scalar() : "");
        if (endpoint)
            settings.seedPeers.push_back(endpoint.value());
        else
            root.addError(VersionError::WrongType, "seed_peers", it.IsScalar() ? it.Scalar() : "");
    }
}

void readIntervals(YamlSection &root, Settings &settings)
{
    root.duration("lameduck", settings.lameduck, {0ms, 5min});
    root.duration("preset_read_interval", settings.presetReadInterval, {100ms, 10s});
    root.duration("heartbeat_interval", settings.heartbeatInterval, {100ms, 1min});
    root.duration("digest_interval", settings.digestInterval, {50ms, 10s});
    root.duration("isolation_limit", settings.isolationLimit, {1s, 10min});
    root.duration("store_timeout", settings.storeTimeout, {10ms, 30s});
}

} // namespace

std::optional<Settings> readSettings(std::string_view text, YamlErrors &errors)
{
    const auto document = parseYaml(text, errors);
    if (!document)
        return std::nullopt;
    Settings settings;
    YamlSection root(*document, errors, "settings");
    root.identifier("vm", settings.vm, Presence::Required);
    root.identifier("zone", settings.zone, Presence::Required);
    root.endpoint("caller_endpoint", settings.callerEndpoint, Presence::Required);
    root.endpoint("admin_endpoint", settings.adminEndpoint, Presence::Required);
    root.endpoint("peer_endpoint", settings.peerEndpoint, Presence::Required);
    root.endpoint("platform_endpoint", settings.platformEndpoint, Presence::Required);
    readSeedPeers(root, settings);
    root.unsignedInteger("traffic_threads", settings.trafficThreads, {1U, 2000U});
    root.unsignedInteger<std::size_t>("max_connections", settings.maxConnections, {1, 100000});
    root.unsignedInteger<std::size_t>("body_limit", settings.maxBodyBytes, {1024, 64UL << 20U});
    root.unsignedInteger<std::size_t>("answer_limit", settings.maxResponseBytes,
                                      {1024, 64UL << 20U});
    readIntervals(root, settings);
    root.finish();
    if (!errors.list().empty())
        return std::nullopt;
    return settings;
}

} // namespace Sapphireladder
