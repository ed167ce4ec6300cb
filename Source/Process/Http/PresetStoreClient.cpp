#include "Process/Http/ProcessHttp.h"

namespace Sapphireladder {

namespace {

constexpr std::string_view controlTable = "control";
constexpr std::string_view inForceKey = "in-force";
constexpr std::string_view presetTable = "presets";

} // namespace

Result<ActivePresetRow> PresetStoreClient::readActivePreset()
{
    TRY_ASSIGN(row, m_tables.read(controlTable, inForceKey));
    if (!row)
        return ActivePresetRow{};
    TRY_ASSIGN(activePreset, decodeActivePreset(row->value));
    return ActivePresetRow{std::move(activePreset), std::move(row->tag)};
}

WriteResult PresetStoreClient::writeActivePreset(const ActivePreset &next, std::string_view tag)
{
    const auto text = encodeActivePreset(next);
    return tag.empty() ? m_tables.insert(controlTable, inForceKey, text)
                       : m_tables.update(controlTable, inForceKey, text, tag);
}

Result<ContentDigest> PresetStoreClient::readDigest(const PresetName &name)
{
    TRY_ASSIGN(row, m_tables.read(presetTable, name.view()));
    if (!row)
        return makeError(ProcessError::PresetNotInStore, name.string());
    return ContentDigest(std::move(row->value));
}

Result<std::string> PresetStoreClient::readText(const ContentDigest &digest)
{
    TRY_ASSIGN(text, m_objects.get(digest.view()));
    if (!text)
        return makeError(ProcessError::PresetNotInStore, digest.string());
    if (digestOf(*text) != digest)
        return makeError(VersionError::DigestMismatch, digest.string());
    return std::move(*text);
}

Result<> PresetStoreClient::putPreset(const PresetName &name, const ContentDigest &digest,
                                      std::string_view text)
{
    TRY(m_objects.put(digest.view(), text));
    const auto write = m_tables.put(presetTable, name.view(), digest.view());
    if (write.status != WriteStatus::Written)
        return makeError(ProcessError::StoreUnavailable, name.string());
    return success();
}

Result<std::vector<PresetName>> PresetStoreClient::listPresets()
{
    TRY_ASSIGN(rows, m_tables.list(presetTable, ""));
    std::vector<PresetName> names;
    for (auto &it : rows)
        names.emplace_back(std::move(it.key));
    return names;
}

} // namespace Sapphireladder
