#pragma once

#include "Process/TableService.h"
#include "Version/Version.h"

#include <optional>
#include <string>

namespace Sapphireladder {

/** The row of the active preset, with its tag for conditional writes. */
struct ActivePresetRow
{
    ActivePreset activePreset;
    /** Empty if the row does not exist yet. */
    std::string tag;
};

/** Typed access to the rows and objects of presets. */
class PresetStore
{
public:
    virtual ~PresetStore() = default;
    /** @return the row of the active preset; version 0 without tag before the first switch. */
    virtual Result<ActivePresetRow> readActivePreset() = 0;
    /** Replaces the row if its tag is unchanged. */
    virtual WriteResult writeActivePreset(const ActivePreset &next, std::string_view tag) = 0;
    /** @return digest of the named preset's text, or VersionError::UnknownPreset. */
    virtual Result<ContentDigest> readDigest(const PresetName &name) = 0;
    /** @return the text of a preset. */
    virtual Result<std::string> readText(const ContentDigest &digest) = 0;
    /** Stores a preset's text under its digest, and maps the name to the digest. */
    virtual Result<> putPreset(const PresetName &name, const ContentDigest &digest,
                               std::string_view text) = 0;
    /** @return sorted names of the stored presets. */
    virtual Result<std::vector<PresetName>> listPresets() = 0;
};

/**
 * Runs a preset switch with a conditional write to the store.
 * @param request the operator's request; the digest is looked up if it is empty
 * @return the result. After Unknown, the operator can safely repeat the operation.
 */
SwitchResult switchPreset(SwitchRequest request, PresetStore &store);

} // namespace Sapphireladder
