#pragma once

#include "Version/InForce.h"

#include <memory>

namespace Sapphireladder {

/** What the register makes of a version that it hears of. */
enum class VersionVerdict {
    /** Higher than what is applied: fetch its text and apply it. */
    Newer,
    /** The one applied. */
    Same,
    /** Lower than what is applied; ignored and counted. */
    Older,
    /** The applied number with another digest. Must not happen. */
    Contradiction,
};

/** Keeps the version that this VM applies. It only ever goes up. Owned by the control thread. */
class PresetRegister
{
public:
    /** Judges a row heard from the store or from a peer. */
    VersionVerdict judge(PresetVersion version, const ContentDigest &digest) const;

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
