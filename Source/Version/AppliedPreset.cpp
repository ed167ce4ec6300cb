#include "Version/Version.h"

namespace Sapphireladder {

VersionComparison AppliedPreset::compare(PresetVersion version, const ContentDigest &digest) const
{
    if (version > this->version())
        return VersionComparison::Newer;
    if (version < this->version())
        return VersionComparison::Older;
    if (m_current && m_current->digest() != digest)
        return VersionComparison::DigestMismatch;
    return VersionComparison::Same;
}

bool AppliedPreset::apply(std::shared_ptr<const PresetSnapshot> snapshot)
{
    if (compare(snapshot->version(), snapshot->digest()) != VersionComparison::Newer)
        return false;
    m_current = std::move(snapshot);
    return true;
}

} // namespace Sapphireladder
