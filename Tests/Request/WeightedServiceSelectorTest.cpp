#include "Request/Request.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Request");

struct WeightedServiceSelectorFixture
{
    std::vector<WeightedService> services{{ServiceName("a"), 90}, {ServiceName("b"), 10}};
    WeightedServiceSelector selector{0.5};
};

// Guards against shares that differ from the weights if a VM has few requests.
TEST_CASE_FIXTURE(WeightedServiceSelectorFixture,
                  "weighted service selector, few requests, matches the weights")
{
    unsigned second = 0;
    for (int i = 0; i < 50; ++i)
        second += selector.select(services) == 1 ? 1 : 0;
    CHECK(second >= 4);
    CHECK(second <= 6);
}

TEST_CASE_FIXTURE(WeightedServiceSelectorFixture,
                  "weighted service selector, weight of zero, is not selected")
{
    services.front().weight = 0;
    for (int i = 0; i < 50; ++i)
        CHECK(selector.select(services) == 1);
}

TEST_SUITE_END();
