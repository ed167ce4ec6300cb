#include "Process/Process.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct InputRefusalLogFixture : EventSink
{
    using EventSink::record;
    void record(EventId id, std::span<const EventField> fields) override
    {
        std::string line = std::to_string(static_cast<int>(id));
        for (const auto &it : fields)
            line += " " + it.value;
        lines.push_back(line);
    }

    ManualClock clock;
    std::vector<std::string> lines;
    InputRefusalLog log{*this, clock};
};

// Guards against a caller that floods the log, and against invalid input that is not logged.
TEST_CASE_FIXTURE(InputRefusalLogFixture,
                  "InputRefusalLog, many refusals, logs one event per second and reason")
{
    for (int i = 0; i < 100; ++i)
        log.record(Refusal{RefusalReason::BadFraming});
    log.record(Refusal{RefusalReason::ConnectionLimit});
    log.record(Refusal{RefusalReason::QueueFull});
    log.record(Response{});
    clock.advance(1s);
    log.record(Refusal{RefusalReason::BadFraming});
    CHECK(lines
          == std::vector<std::string>{"300 bad-framing 1", "301 connection-limit 1",
                                      "300 bad-framing 100"});
}

TEST_SUITE_END();
