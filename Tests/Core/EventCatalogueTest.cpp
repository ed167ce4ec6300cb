#include "Core/Core.h"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <regex>
#include <string>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Core");

struct EventCatalogueFixture
{
    EventCatalogueFixture()
    {
        std::ifstream page(SOURCE_FOLDER "/docs/events.md");
        const std::regex row(R"(\| (\d+) \| ([a-z-]+) \| (info|warning|error) \|.*)");
        std::string line;
        while (std::getline(page, line)) {
            std::smatch match;
            if (std::regex_match(line, match, row))
                documented[std::stoi(match[1])] = {match[2], match[3]};
        }
    }

    struct Row
    {
        std::string name;
        std::string severity;
    };
    std::map<int, Row> documented;
};

// Guards against a log event that is missing in the operators' documentation.
TEST_CASE_FIXTURE(EventCatalogueFixture, "event catalogue, documentation, matches the code")
{
    static constexpr std::string_view severities[] = {"info", "warning", "error"};
    CHECK(documented.size() == eventCatalogue().size());
    for (const auto &it : eventCatalogue()) {
        CAPTURE(it.name);
        const auto &row = documented[static_cast<int>(it.id)];
        CHECK(row.name == it.name);
        CHECK(row.severity == severities[static_cast<std::size_t>(it.severity)]);
    }
}

TEST_CASE_FIXTURE(EventCatalogueFixture, "event catalogue, numbers, are in ascending order")
{
    const auto events = eventCatalogue();
    for (std::size_t i = 1; i < events.size(); ++i)
        CHECK(events[i - 1].id < events[i].id);
}

TEST_SUITE_END();
