#include "Version/Version.h"

namespace Sapphireladder {

VersionVerdict PresetRegister::judge(PresetVersion version, const ContentDigest &digest) const
{
    if (version > this->version())
        return VersionVerdict::Newer;
    if (version < this->version())
        return VersionVerdict::Older;
    if (m_current && m_current->digest() != digest)
        return VersionVerdict::Contradiction;
    return VersionVerdict::Same;
}

bool PresetRegister::apply(std::shared_ptr<const PresetSnapshot> snapshot)
{
    if (judge(snapshot->version(), snapshot->digest()) != VersionVerdict::Newer)
        return false;
    m_current = std::move(snapshot);
    return true;
}

} // namespace Sapphireladder
