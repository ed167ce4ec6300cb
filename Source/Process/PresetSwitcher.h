#pragma once

#include "Process/TableService.h"
#include "Version/Version.h"

#include <optional>
#include <string>

namespace Sapphireladder {

/** The row in force together with its tag. */
struct InForceRow
{
    ActivePreset inForce;
    /** Empty if the row does not exist yet. */
    std::string tag;
};

/** Typed access to the rows and objects of presets. */
class PresetStore
{
public:
    virtual ~PresetStore() = default;
    /** @return the row in force; version 0 without tag before the first switch. */
    virtual Result<InForceRow> readInForce() = 0;
    /** Replaces the row on condition that its tag is unchanged. */
    virtual WriteResult writeInForce(const ActivePreset &next, std::string_view tag) = 0;
    /** @return digest of the named preset's text, or VersionError::UnknownPreset. */
    virtual Result<ContentDigest> readDigest(const PresetName &name) = 0;
    /** @return the text of a preset. */
    virtual Result<std::string> readText(const ContentDigest &digest) = 0;
    /** Stores a preset's text under its digest and points the name to it. */
    virtual Result<> putPreset(const PresetName &name, const ContentDigest &digest,
                               std::string_view text) = 0;
    /** @return names of the stored presets in order. */
    virtual Result<std::vector<PresetName>> listPresets() = 0;
};

/**
 * Runs one operator's switch against the store.
 * @param request what the operator asks for; the digest is looked up if it is empty
 * @param store the platform's store
 * @return how it ended. Unknown can be resolved by repeating the operation.
 */
SwitchResult switchPreset(SwitchRequest request, PresetStore &store);

} // namespace Sapphireladder
