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

/** Settings of a gateway VM, as the platform fills in the template. */
struct GatewaySettingsReaderFixture
{
    std::string text = "vm: a\nzone: z\ncaller_endpoint: 127.0.0.1:1\n"
                       "ready_endpoint: 127.0.0.1:2\nmetrics_endpoint: 127.0.0.1:3\n"
                       "relay_endpoint: 127.0.0.1:4\nplatform_endpoint: 127.0.0.1:5\n";
    YamlErrors errors{"gateway.yaml"};
};

// Guards against bounds of new deployments that act on earlier ones, whose settings lack them.
TEST_CASE_FIXTURE(GatewaySettingsReaderFixture,
                  "gateway settings, without the new bounds, has no tolerance and no hedging")
{
    const auto settings = readGatewaySettings(text, errors);
    REQUIRE(settings);
    CHECK(settings->warmupFactor == 1.0);
    CHECK(settings->warmupSlack == 0.0);
    CHECK(settings->allowanceExcess == 0.0);
    CHECK(settings->allowanceSlack == 0.0);
    CHECK(settings->hedgeRatio == 0.0);
    CHECK(settings->memoryBytes == 0);
    CHECK(settings->maxDescriptors == 0);
}

TEST_CASE_FIXTURE(GatewaySettingsReaderFixture, "gateway settings, with the new bounds, reads them")
{
    text += "allowance_window: 5s\nallowance_excess: 0.25\nallowance_slack: 12\n"
            "warmup_factor: 1.5\nwarmup_slack: 8\nhedge_ratio: 0.05\n"
            "memory_mb: 160\nmax_descriptors: 4100\n";
    const auto settings = readGatewaySettings(text, errors);
    REQUIRE(settings);
    CHECK(settings->allowanceWindow == 5s);
    CHECK(settings->allowanceExcess == 0.25);
    CHECK(settings->allowanceSlack == 12.0);
    CHECK(settings->warmupFactor == 1.5);
    CHECK(settings->warmupSlack == 8.0);
    CHECK(settings->hedgeRatio == 0.05);
    CHECK(settings->memoryBytes == 160 * mebibyte);
    CHECK(settings->maxDescriptors == 4100);
}

// Guards against a negative or huge bound that turns a limit off or overflows.
TEST_CASE_FIXTURE(GatewaySettingsReaderFixture, "gateway settings, bound out of range, is rejected")
{
    for (const auto *it : {"allowance_window: 0s", "allowance_excess: -1", "allowance_slack: -1",
                           "warmup_factor: -0.5", "warmup_slack: 1e9", "hedge_ratio: 1.5",
                           "memory_mb: 1", "max_descriptors: 0"}) {
        CAPTURE(it);
        YamlErrors found("gateway.yaml");
        CHECK_FALSE(readGatewaySettings(text + it + "\n", found));
        CHECK(found.list().size() == 1);
    }
}

TEST_SUITE_END();
