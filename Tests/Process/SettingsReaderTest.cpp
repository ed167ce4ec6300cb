#include "Process/Yaml/ProcessYaml.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct SettingsReaderFixture
{
    static std::string sample()
    {
        return readTextFile(SOURCE_FOLDER "/Samples/bengal/vm-01.yaml").value();
    }

    YamlErrors errors{"vm.yaml"};
};

TEST_CASE_FIXTURE(SettingsReaderFixture, "readSettings, with the sample file, returns every value")
{
    const auto settings = readSettings(sample(), errors);
    REQUIRE(settings);
    CHECK(settings->vm == VmId("bengal-01"));
    CHECK(settings->zone == ZoneName("kolkata-dc"));
    CHECK(settings->seedPeers.size() == 2);
    CHECK(settings->trafficThreads == 64);
    CHECK(settings->lameduck == 5s);
}

TEST_CASE_FIXTURE(SettingsReaderFixture, "readSettings, with several errors, reports each")
{
    const auto text = sample() + "colour: red\nvm: twice\n";
    CHECK_FALSE(readSettings(text, errors));
    REQUIRE(errors.list().size() == 2);
    CHECK(errors.list()[0].code == VersionError::UnknownKey);
    CHECK(errors.list()[1].code == VersionError::DuplicateName);
}

TEST_CASE_FIXTURE(SettingsReaderFixture, "readSettings, of the Cairo sample, is valid")
{
    const auto text = readTextFile(SOURCE_FOLDER "/Samples/cairo/vm-01.yaml").value();
    CHECK(readSettings(text, errors));
}

TEST_SUITE_END();
