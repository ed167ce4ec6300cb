#include "Version/Version.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Version");

struct RouteTableFixture
{
    RouteTableFixture()
    {
        content.version = 3;
        content.services.push_back({ServiceName("desk"), "/health", 220});
        content.hosts.push_back({"A.example", {route("short", "/p/"), route("long", "/p/q/")}});
    }

    static Route route(std::string_view name, std::string_view prefix)
    {
        Route route;
        route.name = name;
        route.prefix = prefix;
        route.services.push_back({ServiceName("desk"), 1.0});
        return route;
    }

    std::string find(std::string_view host, std::string_view target) const
    {
        const auto table = RouteTable::create(content);
        const auto *found = table.value()->findRoute(host, target);
        return found ? found->name : "none";
    }

    RouteTableContent content;
};

TEST_CASE_FIXTURE(RouteTableFixture,
                  "route table, with two matching prefixes, returns the longer one")
{
    CHECK(find("a.example", "/p/q/r") == "long");
    CHECK(find("a.example", "/p/x") == "short");
}

// Guards against matching a prefix within the query string.
TEST_CASE_FIXTURE(RouteTableFixture, "route table, with a query, matches the path only")
{
    CHECK(find("a.example", "/p/?x=/p/q/") == "short");
    CHECK(find("a.example", "/p?/q/") == "none");
}

TEST_CASE_FIXTURE(RouteTableFixture, "route table, with a host, ignores its case and port")
{
    CHECK(find("A.EXAMPLE:8080", "/p/") == "short");
    CHECK(find("b.example", "/p/") == "none");
}

TEST_CASE_FIXTURE(RouteTableFixture, "route table, with zero total weight, is rejected")
{
    content.hosts.front().routes.front().services.front().weight = 0;
    CHECK(RouteTable::create(content).error().code == VersionError::OutOfRange);
}

TEST_CASE_FIXTURE(RouteTableFixture, "route table, with an unlisted service, is rejected")
{
    content.hosts.front().routes.front().services.front().service = ServiceName("nobody");
    CHECK(RouteTable::create(content).error().code == VersionError::OutOfRange);
}

TEST_CASE_FIXTURE(RouteTableFixture, "route table, with a prefix without final slash, is rejected")
{
    content.hosts.front().routes.front().prefix = "/p";
    CHECK(RouteTable::create(content).error().code == VersionError::OutOfRange);
}

TEST_CASE_FIXTURE(RouteTableFixture, "route table, with a duplicate prefix, is rejected")
{
    content.hosts.front().routes.push_back(route("again", "/p/"));
    CHECK(RouteTable::create(content).error().code == VersionError::DuplicateName);
}

// Guards against low-priority routes that take all slots of a service from its high-priority ones.
TEST_CASE_FIXTURE(RouteTableFixture,
                  "route table, with several routes of a service, returns the highest priority")
{
    content.hosts.front().routes.front().priority = 2;
    content.hosts.front().routes.back().priority = 1;
    const auto table = RouteTable::create(content);
    REQUIRE(table.value()->highestPriorityRoute(ServiceName("desk")));
    CHECK(table.value()->highestPriorityRoute(ServiceName("desk"))->name == "long");
    CHECK_FALSE(table.value()->highestPriorityRoute(ServiceName("other")));
}

// Guards against a key that belongs to two workspaces, whose requests then count for either.
TEST_CASE_FIXTURE(RouteTableFixture, "route table, key or workspace listed twice, is rejected")
{
    content.workspaces = {{"north", {"k1", "k2"}}, {"south", {"k3"}}};
    const auto table = RouteTable::create(content);
    REQUIRE(table);
    CHECK(table.value()->requiresKeys());
    REQUIRE(table.value()->findWorkspace("k3"));
    CHECK(table.value()->findWorkspace("k3")->name == "south");
    CHECK_FALSE(table.value()->findWorkspace("k4"));
    for (const auto &second : {Workspace{"south", {"k1"}}, Workspace{"north", {"k4"}},
                               Workspace{"south", {"k5", "k5"}}}) {
        content.workspaces[1] = second;
        CHECK(RouteTable::create(content).error().code == VersionError::DuplicateName);
    }
}

TEST_SUITE_END();
