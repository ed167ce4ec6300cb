#include "Version/Version.h"

#include <xxhash.h>

#include <cstdio>

namespace Sapphireladder {

ContentDigest digestOf(std::string_view text)
{
    const auto hash = XXH3_128bits(text.data(), text.size());
    char buf[33];
    std::snprintf(buf, sizeof buf, "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
                  static_cast<unsigned long long>(hash.low64));
    return ContentDigest(buf);
}

PresetSnapshot::PresetSnapshot(PresetVersion version, ContentDigest digest, Preset preset)
    : m_version(version)
    , m_digest(std::move(digest))
    , m_preset(std::move(preset))
{}

Result<std::shared_ptr<const PresetSnapshot>>
PresetSnapshot::create(PresetVersion version, ContentDigest digest, Preset preset)
{
    if (preset.services.empty())
        return makeError(VersionError::EmptyPreset, preset.name.string());
    std::shared_ptr<PresetSnapshot> snapshot(
            new PresetSnapshot(version, std::move(digest), std::move(preset)));
    const auto &services = snapshot->m_preset.services;
    for (std::size_t i = 0; i < services.size(); ++i) {
        if (!snapshot->m_serviceIndex.emplace(services[i].name.view(), i).second)
            return makeError(VersionError::DuplicateName, services[i].name.string());
    }
    return std::shared_ptr<const PresetSnapshot>(std::move(snapshot));
}

const ServicePolicy *PresetSnapshot::findService(std::string_view name) const
{
    const auto it = m_serviceIndex.find(name);
    return it == m_serviceIndex.end() ? nullptr : &m_preset.services[it->second];
}

} // namespace Sapphireladder
