#include "Process/Yaml/ProcessYaml.h"

namespace Sapphireladder {

std::optional<GatewaySettings> readGatewaySettings(std::string_view text, YamlErrors &errors)
{
    using namespace std::chrono_literals;
    const auto document = parseYaml(text, errors);
    if (!document)
        return std::nullopt;
    GatewaySettings settings;
    YamlSection root(*document, errors, "settings");
    root.identifier("vm", settings.vm, Presence::Required);
    root.identifier("zone", settings.zone, Presence::Required);
    root.endpoint("caller_endpoint", settings.callerEndpoint, Presence::Required);
    root.endpoint("ready_endpoint", settings.readyEndpoint, Presence::Required);
    root.endpoint("metrics_endpoint", settings.metricsEndpoint, Presence::Required);
    root.endpoint("relay_endpoint", settings.relayEndpoint, Presence::Required);
    root.endpoint("platform_endpoint", settings.platformEndpoint, Presence::Required);
    root.duration("stop_grace", settings.stopGrace, {1s, 10min});
    root.duration("change_bound", settings.maxChangeDelay, {100ms, 1min});
    root.duration("recovery_bound", settings.maxRecoveryDelay, {2s, 1min});
    root.number("repeat_ratio", settings.retryRatio, {0.0, 1.0});
    root.number("repeat_slack", settings.retrySlack, {0.0, 1e6});
    root.duration("repeat_window", settings.retryWindow, {1s, 10min});
    root.number("asks_per_target", settings.loadProbesPerTargetPerSecond, {0.0, 1e4});
    root.unsignedInteger<std::size_t>("max_connections", settings.maxConnections, {1, 100000});
    root.number("cores", settings.cores, {0.0, 1024.0});
    root.duration("allowance_window", settings.allowanceWindow, {100ms, 10min});
    root.number("allowance_excess", settings.allowanceExcess, {0.0, 10.0});
    root.number("allowance_slack", settings.allowanceSlack, {0.0, 1e6});
    root.number("warmup_factor", settings.warmupFactor, {0.0, 100.0});
    root.number("warmup_slack", settings.warmupSlack, {0.0, 1e6});
    root.number("hedge_ratio", settings.hedgeRatio, {0.0, 1.0});
    root.number("admission_min_share", settings.admissionMinShare, {0.0, 0.5});
    std::size_t memoryMebibytes = settings.memoryBytes / mebibyte;
    root.unsignedInteger<std::size_t>("memory_mb", memoryMebibytes, {32, 1UL << 20U});
    settings.memoryBytes = memoryMebibytes * mebibyte;
    root.unsignedInteger<std::size_t>("max_descriptors", settings.maxDescriptors, {64, 1UL << 24U});
    root.boolean("first_start", settings.isFirstStart);
    root.finish();
    if (!errors.list().empty())
        return std::nullopt;
    return settings;
}

} // namespace Sapphireladder
