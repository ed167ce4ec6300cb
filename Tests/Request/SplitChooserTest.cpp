#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct SplitChooserFixture
{
    std::vector<WeightedService> services{{ServiceName("a"), 90}, {ServiceName("b"), 10}};
    SplitChooser chooser{0.5};
};

// Guards against shares that differ from the weights if a VM has few requests.
TEST_CASE_FIXTURE(SplitChooserFixture,
                  "weighted service selector, few requests, matches the weights")
{
    unsigned second = 0;
    for (int i = 0; i < 50; ++i)
        second += chooser.choose(services) == 1 ? 1 : 0;
    CHECK(second >= 4);
    CHECK(second <= 6);
}

TEST_CASE_FIXTURE(SplitChooserFixture, "weighted service selector, weight of zero, is not selected")
{
    services.front().weight = 0;
    for (int i = 0; i < 50; ++i)
        CHECK(chooser.choose(services) == 1);
}

TEST_SUITE_END();
