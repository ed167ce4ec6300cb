#pragma once

#include "Version/Preset.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace Sapphireladder {

/** Number of a switch. Each accepted switch increments it by one. */
using PresetVersion = std::uint64_t;

/** @param text a preset's text @return its 128-bit digest in hexadecimal. */
ContentDigest digestOf(std::string_view text);

/** One version of the active preset. Immutable and shared by all threads. */
class PresetSnapshot
{
public:
    /**
     * @param version number of the switch that activated the preset
     * @param digest digest of the preset's text
     * @param preset a validated preset
     * @return the snapshot, or VersionError::EmptyPreset or VersionError::DuplicateName.
     */
    static Result<std::shared_ptr<const PresetSnapshot>>
    create(PresetVersion version, ContentDigest digest, Preset preset);

    PresetVersion version() const { return m_version; }
    const ContentDigest &digest() const { return m_digest; }
    const Preset &preset() const { return m_preset; }
    /** @return the policy of the service, or null if the preset has no such service. */
    const ServicePolicy *findService(std::string_view name) const;

private:
    PresetSnapshot(PresetVersion version, ContentDigest digest, Preset preset);

    PresetVersion m_version;
    ContentDigest m_digest;
    Preset m_preset;
    /** Position of each service in the preset, by name. */
    std::unordered_map<std::string_view, std::size_t> m_serviceIndex;
};

} // namespace Sapphireladder
