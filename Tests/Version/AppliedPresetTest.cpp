#include "Version/Version.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Version");

struct AppliedPresetFixture
{
    static std::shared_ptr<const PresetSnapshot> snapshot(PresetVersion version, const char *digest)
    {
        Preset preset;
        preset.name = PresetName("ordinary");
        preset.services.emplace_back().name = ServiceName("botolchin");
        return PresetSnapshot::create(version, ContentDigest(digest), preset).value();
    }

    AppliedPreset applied;
};

// Guards against reverting to an older preset after a delayed store response or a message from a
// lagging peer.
TEST_CASE_FIXTURE(AppliedPresetFixture, "apply, with a lower version, keeps the higher one")
{
    CHECK(applied.apply(snapshot(2, "b")));
    CHECK_FALSE(applied.apply(snapshot(1, "a")));
    CHECK(applied.version() == 2);
}

TEST_CASE_FIXTURE(AppliedPresetFixture,
                  "compare, with the same version and another digest, reports a mismatch")
{
    applied.apply(snapshot(2, "b"));
    CHECK(applied.compare(2, ContentDigest("b")) == VersionComparison::Same);
    CHECK(applied.compare(2, ContentDigest("c")) == VersionComparison::DigestMismatch);
}

TEST_SUITE_END();
