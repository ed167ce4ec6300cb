#pragma once

#include "Version/ActivePreset.h"

#include <memory>

namespace Sapphireladder {

/** How a version received from the store or a peer compares to the applied one. */
enum class VersionComparison {
    /** Higher than the applied version: its text has to be fetched and applied. */
    Newer,
    /** Equal to the applied version. */
    Same,
    /** Lower than the applied version; ignored and counted. */
    Older,
    /** Equal to the applied version but with another digest, which violates an invariant. */
    DigestMismatch,
};

/** Holds the version that this VM applies, which never decreases. Owned by the control thread. */
class AppliedPreset
{
public:
    /** @return how a version received from the store or a peer compares to the applied one. */
    VersionComparison compare(PresetVersion version, const ContentDigest &digest) const;

    /**
     * Applies a snapshot if it is newer than the one applied.
     * @return whether it was applied.
     */
    bool apply(std::shared_ptr<const PresetSnapshot> snapshot);

    /** @return the applied snapshot, or null before the first. */
    const std::shared_ptr<const PresetSnapshot> &current() const { return m_current; }
    /** @return the applied version, 0 before the first. */
    PresetVersion version() const { return m_current ? m_current->version() : 0; }

private:
    std::shared_ptr<const PresetSnapshot> m_current;
};

} // namespace Sapphireladder
