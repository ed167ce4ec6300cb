#include "Version/Yaml/VersionYaml.h"

#include <set>

namespace Sapphireladder {

namespace {

using namespace std::chrono_literals;

constexpr Range<double> shareRange{0.0, 1.0};

void readDeadline(YamlSection &section, ServicePolicy &service)
{
    auto &policy = service.deadline;
    section.duration("default", policy.defaultTimeout, {1ms, 1h});
    section.duration("max", policy.maxTimeout, {1ms, 1h});
    if (policy.defaultTimeout > policy.maxTimeout)
        section.addError(VersionError::OutOfRange, "default", "must not exceed max");
}

void readQueue(YamlSection &section, ServicePolicy &service)
{
    auto &policy = service.queue;
    section.unsignedInteger("capacity", policy.capacity, {0U, 100000U});
    section.number("deferrable_share", policy.deferrableShare, shareRange);
}

void readRetry(YamlSection &section, ServicePolicy &service)
{
    auto &policy = service.retry;
    section.number("budget_ratio", policy.budgetRatio, shareRange);
    section.unsignedInteger("burst", policy.burst, {0U, 10000U});
    section.unsignedInteger("max_attempts", policy.maxAttempts, {1U, 10U});
}

void readHedge(YamlSection &section, ServicePolicy &service)
{
    auto &policy = service.hedge;
    section.boolean("enabled", policy.enabled);
    section.number("quantile", policy.quantile, {0.5, 0.9999});
    section.number("budget_ratio", policy.budgetRatio, shareRange);
}

void readRouting(YamlSection &section, ServicePolicy &service)
{
    auto &policy = service.routing;
    section.choice("strategy", policy.strategy, routingStrategyNames);
    section.unsignedInteger("sample_size", policy.sampleSize, {1U, 64U});
    section.duration("zone_margin", policy.zoneMargin, {0ms, 1s});
    section.duration("report_half_life", policy.reportHalfLife, {1ms, 10s});
}

void readProbe(YamlSection &section, ServicePolicy &service)
{
    auto &policy = service.probe;
    section.number("per_target_per_second", policy.probesPerTargetPerSecond, {0.0, 100.0});
    section.duration("after", policy.idleTime, {10ms, 10min});
    section.duration("timeout", policy.timeout, {1ms, 30s});
}

void readEjection(YamlSection &section, ServicePolicy &service)
{
    auto &policy = service.ejection;
    section.unsignedInteger("consecutive_faults", policy.consecutiveFailures, {1U, 1000U});
    section.duration("base_time", policy.baseEjectionTime, {10ms, 10min});
    section.duration("max_time", policy.maxEjectionTime, {10ms, 1h});
    section.number("keep_share", policy.minRetainedShare, shareRange);
    section.duration("ramp", policy.rampUpTime, {0ms, 10min});
}

void readShedMark(YamlSection &section, ServicePolicy &service)
{
    auto &mark = service.shedMark;
    section.unsignedInteger("status", mark.status, {400U, 599U});
    section.text("header", mark.header);
    section.text("value", mark.value);
}

/** Reader of one subsection of a service. */
struct PolicyReader
{
    std::string_view key;
    void (*read)(YamlSection &section, ServicePolicy &service);
};

constexpr PolicyReader policyReaders[] = {
        {"deadline", readDeadline}, {"queue", readQueue},        {"retry", readRetry},
        {"hedge", readHedge},       {"routing", readRouting},    {"probe", readProbe},
        {"ejection", readEjection}, {"shed_mark", readShedMark},
};

IdempotencyRule readIdempotencyRule(YamlSection &section)
{
    IdempotencyRule rule{"*", "/", true};
    section.text("method", rule.method);
    section.text("path_prefix", rule.pathPrefix);
    section.boolean("idempotent", rule.idempotent);
    section.finish();
    return rule;
}

TargetSpec readTarget(YamlSection &section)
{
    TargetSpec target;
    section.identifier("id", target.id, Presence::Required);
    section.endpoint("endpoint", target.endpoint, Presence::Required);
    section.identifier("zone", target.zone, Presence::Required);
    section.unsignedInteger("slots", target.slots, {1U, 10000U});
    section.finish();
    return target;
}

/** Reports a name that another element of the same list already has. */
template<typename Tag>
void checkUnique(std::set<Identifier<Tag>> &names, const Identifier<Tag> &name,
                 std::string_view key, YamlSection &section)
{
    if (!name.isEmpty() && !names.insert(name).second)
        section.addError(VersionError::DuplicateName, key, name.view());
}

ServicePolicy readService(YamlSection &section)
{
    ServicePolicy service;
    section.identifier("name", service.name, Presence::Required);
    for (const auto &it : policyReaders) {
        if (auto subsection = section.section(it.key)) {
            it.read(*subsection, service);
            subsection->finish();
        }
    }
    for (auto &it : section.sections("idempotency", Presence::Optional))
        service.idempotencyRules.push_back(readIdempotencyRule(it));
    std::set<TargetId> targetIds;
    std::set<Endpoint> endpoints;
    for (auto &it : section.sections("targets", Presence::Required)) {
        service.targets.push_back(readTarget(it));
        const auto &target = service.targets.back();
        checkUnique(targetIds, target.id, "id", it);
        // Load is recorded by address, so two targets with one address would share a record.
        if (target.endpoint.port != 0 && !endpoints.insert(target.endpoint).second)
            it.addError(VersionError::DuplicateName, "endpoint", target.endpoint.toString());
    }
    if (service.targets.empty())
        section.addError(VersionError::MissingKey, "targets", "at least one target is required");
    section.finish();
    return service;
}

} // namespace

std::optional<Preset> readPreset(std::string_view text, YamlErrors &errors)
{
    const auto document = parseYaml(text, errors);
    if (!document)
        return std::nullopt;
    Preset preset;
    YamlSection root(*document, errors, "preset");
    root.identifier("name", preset.name, Presence::Required);
    root.unsignedInteger("max_fleet", preset.maxVmCount, {1U, 100000U});
    std::set<ServiceName> serviceNames;
    for (auto &it : root.sections("services", Presence::Required)) {
        preset.services.push_back(readService(it));
        checkUnique(serviceNames, preset.services.back().name, "name", it);
    }
    if (preset.services.empty())
        root.addError(VersionError::EmptyPreset, "services");
    root.finish();
    if (!errors.list().empty())
        return std::nullopt;
    return preset;
}

Result<std::shared_ptr<const PresetSnapshot>> readSnapshot(PresetVersion version,
                                                           std::string_view text)
{
    YamlErrors errors("preset");
    auto preset = readPreset(text, errors);
    if (!preset)
        return errors.list().front();
    return PresetSnapshot::create(version, digestOf(text), std::move(*preset));
}

} // namespace Sapphireladder
