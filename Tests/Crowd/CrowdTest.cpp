#include "Crowd/CrowdFixture.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;
using namespace Sapphireladder::CrowdTests;

TEST_SUITE_BEGIN("Crowd");

namespace {

/** Connections of a crowd that fits into the gateway's descriptors. */
constexpr std::size_t crowdSize = 120;
/** Connections of a crowd that does not. */
constexpr std::size_t floodSize = std::size_t{2} * maxDescriptors;
/** Connections at each of three ports or paths; together they fit, too. */
constexpr std::size_t fieldCrowdSize = 70;
constexpr std::size_t pieceBytes = 1000;

/** @return a body in chunks of one byte without its end, of at least this encoded size. */
std::string oneByteChunks(std::size_t encodedBytes)
{
    static constexpr std::string_view chunk = "1\r\nc\r\n";
    std::string text;
    while (text.size() < encodedBytes)
        text += chunk;
    return text;
}

/** @return a head at the size limit made of fields of two characters, without its body. */
std::string manyFields(const std::string &path)
{
    static constexpr std::string_view field = "a:b\r\n";
    constexpr std::size_t otherBytes = 200;
    std::string fields = "Content-Length: 10\r\n";
    while (fields.size() + otherBytes < maxHeadBytes)
        fields += field;
    return postHead(path, fields);
}

std::string unfinishedBody(const std::string &path)
{
    return postHead(path, "Content-Length: " + std::to_string(maxBodyBytes) + "\r\n")
           + std::string(maxBodyBytes - 1, 'b');
}

} // namespace

// Guards against a process that runs out of memory for bodies of legal size that never end, and
// against ordinary callers that are refused because such bodies fill the budget.
TEST_CASE_FIXTURE(CrowdFixture, "crowd, bodies of legal size stop before their end, holds")
{
    Crowd crowd(callers());
    for (const auto *path : {"/small/", "/nowhere/"})
        crowd.join(crowdSize / 2, unfinishedBody(path));
    crowd.send(maxBodyBytes);
    checkHolds();
    crowd.leave();
    checkReleased();
}

TEST_CASE_FIXTURE(CrowdFixture, "crowd, bodies in small pieces stop before their end, holds")
{
    Crowd crowd(callers());
    crowd.join(crowdSize, unfinishedBody("/small/"));
    crowd.send(pieceBytes);
    checkHolds();
    crowd.leave();
    checkReleased();
}

TEST_CASE_FIXTURE(CrowdFixture, "crowd, bodies in chunks of one byte never end, holds")
{
    Crowd crowd(callers());
    crowd.join(crowdSize,
               postHead("/small/", "Transfer-Encoding: chunked\r\n") + oneByteChunks(mebibyte));
    crowd.send();
    checkHolds();
    crowd.leave();
    checkReleased();
}

// Guards against bodies that are buffered although they are beyond the limit.
TEST_CASE_FIXTURE(CrowdFixture, "crowd, bodies far over the limit, holds")
{
    constexpr std::size_t sentBytes = 4 * maxBodyBytes;
    const std::string body(sentBytes, 'b');
    Crowd crowd(callers());
    crowd.join(crowdSize / 4, postHead("/small/", "Content-Length: 8000000000\r\n") + body);
    crowd.join(crowdSize / 4,
               postHead("/small/", "Transfer-Encoding: chunked\r\n") + "1000000\r\n" + body);
    crowd.join(crowdSize / 4,
               postHead("/nowhere/", "Transfer-Encoding: chunked\r\n") + oneByteChunks(sentBytes));
    crowd.send();
    checkHolds();
    crowd.leave();
    checkReleased();
}

// Guards against a process that counts the bytes of a head and not the memory of its fields, which
// is many times as large if they are short.
TEST_CASE_FIXTURE(CrowdFixture, "crowd, heads of very many short fields, holds")
{
    Crowd routed(callers());
    routed.join(fieldCrowdSize, manyFields("/small/"));
    Crowd unrouted(callers());
    unrouted.join(fieldCrowdSize, manyFields("/nowhere/"));
    Crowd probing(ready());
    probing.join(fieldCrowdSize, manyFields("/ready"));
    for (auto *it : {&routed, &unrouted, &probing})
        it->send();
    checkHolds();
    for (auto *it : {&routed, &unrouted, &probing})
        it->leave();
    checkReleased();
}

// Guards against large bodies at the ready endpoint, which takes none.
TEST_CASE_FIXTURE(CrowdFixture, "crowd, bodies at the ready and metrics endpoints, holds")
{
    // Just below the default body limit of 1 MiB, which the status pages had.
    const auto request = [](const std::string &path) {
        return postHead(path, "Content-Length: 1048576\r\n") + std::string(mebibyte - 1, 'b');
    };
    Crowd probing(ready());
    probing.join(crowdSize / 2, request("/ready"));
    Crowd scraping(metrics());
    scraping.join(crowdSize / 2, request("/metrics"));
    probing.send();
    scraping.send();
    checkHolds();
    probing.leave();
    scraping.leave();
    checkReleased();
}

// Guards against the memory of answers that their callers do not read.
TEST_CASE_FIXTURE(CrowdFixture, "crowd, large answers are not read, holds")
{
    constexpr std::size_t requestCount = 50;
    std::string requests;
    for (std::size_t i = 0; i < requestCount; ++i)
        requests += get("/large/");
    Crowd crowd(callers());
    crowd.join(crowdSize, requests);
    crowd.send();
    checkHolds();
    crowd.leave();
    checkReleased();
}

TEST_CASE_FIXTURE(CrowdFixture, "crowd, many small requests are sent ahead, holds")
{
    constexpr std::size_t requestCount = 5000;
    std::string requests;
    for (std::size_t i = 0; i < requestCount; ++i)
        requests += get(i % 2 == 0 ? "/small/" : "/nowhere/");
    Crowd crowd(callers());
    crowd.join(crowdSize / 2, requests);
    Crowd scraping(metrics());
    scraping.join(crowdSize / 2, get("/metrics") + requests);
    crowd.send();
    scraping.send();
    checkHolds();
    crowd.leave();
    scraping.leave();
    checkReleased();
}

TEST_CASE_FIXTURE(CrowdFixture, "crowd, slow senders and readers and those who stop, holds")
{
    Crowd slow(callers());
    slow.join(crowdSize / 4, "GET /small/ HTTP/1.1\r\nHost: a.exam");
    slow.join(crowdSize / 4, postHead("/small/", "Content-Length: 500\r\n") + "half");
    slow.send(1);
    Crowd readers(callers());
    readers.join(crowdSize / 4, get("/large/"));
    readers.send();
    for (int i = 0; i < 20; ++i)
        readers.readSome(1);
    Crowd stopping(callers());
    stopping.join(crowdSize / 4, unfinishedBody("/small/").substr(0, maxBodyBytes / 2));
    stopping.send();
    stopping.closeSending();
    checkHolds();
    slow.leave();
    readers.leave();
    stopping.leave();
    checkReleased();
}

// Guards against idle connections that use up the descriptors, so that nobody else can connect.
TEST_CASE_FIXTURE(CrowdFixture, "crowd, more connections than descriptors, holds")
{
    Crowd crowd(callers());
    crowd.join(floodSize, "");
    checkHolds();
    crowd.leave();
    checkReleased();
}

TEST_CASE_FIXTURE(CrowdFixture, "crowd, more connections than descriptors with half a head, holds")
{
    Crowd crowd(callers());
    crowd.join(floodSize, "GET /small/ HTTP/1.1\r\nHost: a.exam");
    crowd.send();
    checkHolds();
    crowd.leave();
    checkReleased();
}

// Guards against a crowd at the ready and metrics endpoints that keeps callers from connecting.
TEST_CASE_FIXTURE(CrowdFixture, "crowd, flood of the ready and metrics endpoints, holds")
{
    Crowd probing(ready());
    probing.join(floodSize / 2, "");
    Crowd scraping(metrics());
    scraping.join(floodSize / 2, "GET /me");
    scraping.send();
    checkHolds();
    probing.leave();
    scraping.leave();
    checkReleased();
}

/** A gateway with the smallest memory and the largest body of the users' platform. */
struct SmallVmFixture : CrowdFixture
{
    static constexpr std::size_t largestBodyBytes = 64 * mebibyte;

    SmallVmFixture()
        : CrowdFixture(
                {.memoryMebibytes = 160, .maxBodyBytes = largestBodyBytes, .timeoutMs = 60000})
    {}
};

// Guards against limits that refuse, in calm, a request which the pages allow, and against a body
// that is held more than once: with its copy for the target it would exceed the memory.
TEST_CASE_FIXTURE(SmallVmFixture, "single caller, largest legal body, is served within the memory")
{
    const std::string body(largestBodyBytes, 'b');
    const std::string patient = "Deadline-Ms: 60000\r\n";
    const std::string head = "POST /small/ HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a3\r\n"
                             + patient;
    constexpr long timeoutSeconds = 60;
    CHECK(isServed(callers(),
                   head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                   timeoutSeconds));
    CHECK(isServed(callers(),
                   head + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n" + body + "\r\n0\r\n\r\n",
                   timeoutSeconds));
    checkHolds();
}

TEST_SUITE_END();
