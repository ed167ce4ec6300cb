#include "Process/Io/ProcessIo.h"

#include <doctest/doctest.h>

#include <array>

#include <unistd.h>

using namespace Sapphireladder;
using namespace std::chrono_literals;

TEST_SUITE_BEGIN("Process");

struct StructuredLogFixture
{
    StructuredLogFixture() { REQUIRE(::pipe(pipeFds.data()) == 0); }
    ~StructuredLogFixture()
    {
        ::close(pipeFds[0]);
        ::close(pipeFds[1]);
    }

    std::string read()
    {
        std::array<char, 65536> buf{};
        const auto n = ::read(pipeFds[0], buf.data(), buf.size());
        return {buf.data(), static_cast<std::size_t>(std::max<ssize_t>(n, 0))};
    }

    std::array<int, 2> pipeFds{};
    ManualClock clock;
};

TEST_CASE_FIXTURE(StructuredLogFixture,
                  "structured log, event, is written as one line with its fields")
{
    StructuredLog log(pipeFds[1], {}, clock);
    log.record(EventId::RequestRefused, {{"request", "r1"}, {"why", "queue full"}});
    CHECK(log.flush());
    const auto text = read();
    CHECK(text.find("level=warning E313 request-refused request=r1 why=\"queue full\"\n")
          != std::string::npos);
}

// Guards against a log volume that grows with the load.
TEST_CASE_FIXTURE(StructuredLogFixture,
                  "structured log, lines beyond the rate limit, are dropped and counted")
{
    StructuredLog log(pipeFds[1], {10, 20, 256 * kibibyte}, clock);
    for (int i = 0; i < 100; ++i)
        log.record(EventId::RequestAnswered, {{"request", "r"}});
    CHECK(log.flush());
    CHECK(log.droppedLines() == 80);
    CHECK(read().find("E390 log-lines-dropped lines=80 total=80") != std::string::npos);
}

// Guards against a process that blocks because nobody reads its log.
TEST_CASE_FIXTURE(StructuredLogFixture, "structured log, reader of the pipe hangs, does not block")
{
    StructuredLog log(pipeFds[1], {1e6, 1e6, 256 * kibibyte}, clock);
    const std::string value(1000, 'x');
    for (int i = 0; i < 200; ++i)
        log.record(EventId::RequestAnswered, {{"request", value}});
    CHECK_FALSE(log.flush());
    for (int i = 0; i < 400; ++i)
        log.record(EventId::RequestAnswered, {{"request", value}});
    CHECK_FALSE(log.flush());
    CHECK(log.droppedLines() > 0);
}

TEST_SUITE_END();
