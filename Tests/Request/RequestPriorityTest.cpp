#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Request");

// Guards against an urgent route that goes before a more important workspace.
TEST_CASE("request priority, workspace and route differ, the workspace decides")
{
    CHECK(RequestPriority{0, 5} < RequestPriority{1, 0});
    CHECK(RequestPriority{1, 0} < RequestPriority{1, 1});
    CHECK(RequestPriority{0, 0} == RequestPriority{});
}

TEST_SUITE_END();
