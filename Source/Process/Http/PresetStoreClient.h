#pragma once

#include "Process/Process.h"

namespace Sapphireladder {

/**
 * Stores the texts of presets in the platform's object store. Their names with the digests, and the
 * preset in force, are table rows.
 */
class PresetStoreClient final : public PresetStore
{
public:
    /** The references must outlive the object. */
    PresetStoreClient(TableService &tables, ObjectStore &objects)
        : m_tables(tables)
        , m_objects(objects)
    {}

    Result<ActivePresetRow> readActivePreset() override;
    WriteResult writeActivePreset(const ActivePreset &next, std::string_view tag) override;
    Result<ContentDigest> readDigest(const PresetName &name) override;
    Result<std::string> readText(const ContentDigest &digest) override;
    Result<> putPreset(const PresetName &name, const ContentDigest &digest,
                       std::string_view text) override;
    Result<std::vector<PresetName>> listPresets() override;

private:
    TableService &m_tables;
    ObjectStore &m_objects;
};

} // namespace Sapphireladder
