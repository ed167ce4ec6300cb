#include "Version/Yaml/VersionYaml.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <filesystem>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Version");

struct PresetReaderFixture
{
    static constexpr std::string_view valid = "name: ordinary\n"
                                              "services:\n"
                                              "  - name: botolchin\n"
                                              "    deadline: { default: 500ms, max: 2s }\n"
                                              "    targets:\n"
                                              "      - id: botolchin-01\n"
                                              "        endpoint: \"127.0.0.1:8001\"\n"
                                              "        zone: kolkata-dc\n"
                                              "        slots: 6\n";

    /** @return the valid preset with one substring replaced. */
    static std::string validWith(std::string_view from, std::string_view to)
    {
        std::string text(valid);
        return text.replace(text.find(from), from.size(), to);
    }

    std::optional<Preset> read(std::string_view text) { return readPreset(text, errors); }

    /** Checks that the text yields exactly one error, with this code and at this line. */
    void checkError(const std::string &text, VersionError code, std::size_t line)
    {
        CAPTURE(text);
        YamlErrors found("file.yaml");
        CHECK_FALSE(readPreset(text, found));
        REQUIRE(found.list().size() == 1);
        CHECK(found.list()[0].code == code);
        CHECK(found.list()[0].position->line == line);
        CHECK(found.list()[0].position->file == "file.yaml");
    }

    YamlErrors errors{"file.yaml"};
};

TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with a valid text, returns every value")
{
    const auto preset = read(valid);
    REQUIRE(preset);
    const auto &service = preset->services.at(0);
    CHECK(preset->name == PresetName("ordinary"));
    CHECK(service.deadline.defaultTimeout == 500ms);
    CHECK(service.deadline.maxTimeout == 2s);
    CHECK(service.targets.at(0).endpoint == Endpoint{"127.0.0.1", 8001});
    CHECK(service.targets.at(0).slots == 6);
}

// Guards against a misspelt key that is ignored silently, so that the default value stays in use.
TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with an unknown key, reports its line")
{
    checkError(validWith("        slots: 6", "        slot: 6"), VersionError::UnknownKey, 9);
    checkError(validWith("max: 2s", "maximum: 2s"), VersionError::UnknownKey, 4);
}

TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with a duration without unit, reports its line")
{
    checkError(validWith("500ms", "500"), VersionError::WrongUnit, 4);
}

TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with a value out of range, reports its line")
{
    checkError(validWith("slots: 6", "slots: 0"), VersionError::OutOfRange, 9);
    checkError(validWith("max: 2s", "max: 100ms"), VersionError::OutOfRange, 4);
}

TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with a wrong type, reports its line")
{
    checkError(validWith("slots: 6", "slots: six"), VersionError::WrongType, 9);
    checkError(validWith("\"127.0.0.1:8001\"", "localhost:1"), VersionError::WrongType, 7);
    checkError(validWith("{ default: 500ms, max: 2s }", "[1]"), VersionError::WrongType, 4);
}

TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with an unknown strategy, reports its line")
{
    checkError(validWith("deadline: { default: 500ms, max: 2s }", "routing: { strategy: best }"),
               VersionError::UnknownChoice, 4);
}

TEST_CASE_FIXTURE(PresetReaderFixture,
                  "readPreset, without a required key, reports the line of the mapping")
{
    checkError(validWith("        zone: kolkata-dc\n", ""), VersionError::MissingKey, 6);
    checkError(validWith("name: ordinary\n", ""), VersionError::MissingKey, 1);
}

// Guards against two services or targets with the same name, of which only one would be used.
TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with a duplicate name, reports the second line")
{
    const std::string target = "      - { id: botolchin-01, endpoint: \"127.0.0.1:8002\","
                               " zone: durgapur-dc }\n";
    checkError(std::string(valid) + target, VersionError::DuplicateName, 10);
    const std::string service = "  - { name: botolchin, targets: [ { id: a, endpoint: "
                                "\"127.0.0.1:8003\", zone: z } ] }\n";
    checkError(std::string(valid) + service, VersionError::DuplicateName, 10);
    checkError(std::string(valid) + "name: peak\n", VersionError::DuplicateName, 10);
}

// Guards against two targets that share one load record because they have the same address.
TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with a duplicate address, reports its line")
{
    const std::string target = "      - { id: botolchin-02, endpoint: \"127.0.0.1:8001\","
                               " zone: durgapur-dc }\n";
    checkError(std::string(valid) + target, VersionError::DuplicateName, 10);
}

TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with text that is not YAML, reports the line")
{
    checkError("name: [", VersionError::InvalidYaml, 1);
    CHECK_FALSE(read(""));
    CHECK_FALSE(read("services: 3"));
}

// Guards against memory exhaustion by anchors that expand without bound.
TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with a recursive alias, rejects the text")
{
    CHECK_FALSE(read("name: &a [ *a ]\n"));
}

TEST_CASE_FIXTURE(PresetReaderFixture, "readPreset, with each sample preset, succeeds")
{
    std::size_t n = 0;
    for (const auto &it : std::filesystem::recursive_directory_iterator(SOURCE_FOLDER "/Samples")) {
        const auto path = it.path().string();
        if (it.path().extension() != ".yaml" || path.find("vm-") != std::string::npos)
            continue;
        CAPTURE(path);
        YamlErrors found(path);
        CHECK(readPreset(readTextFile(path).value(), found));
        ++n;
    }
    CHECK(n == 6);
}

// Guards against a crash or an endless loop on arbitrary text that an operator stores.
TEST_CASE_FIXTURE(PresetReaderFixture,
                  "readPreset, with mutated text, returns a preset or an error")
{
    const bool holds = rc::check([] {
        std::string text(valid);
        const auto changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            text[position] = *rc::gen::elementOf(std::string(" :-{}[]&*#|>\"'\n\tax09\x80"));
        }
        YamlErrors found("file.yaml");
        const auto preset = readPreset(text, found);
        RC_ASSERT(preset.has_value() == found.list().empty());
    });
    CHECK(holds);
}

TEST_SUITE_END();
