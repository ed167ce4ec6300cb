#include "Connection/Loop/ConnectionLoop.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Connection");

struct ResponseReaderFixture
{
    /** Feeds the text in pieces until the response is complete or invalid. */
    ReadProgress feed(std::string_view text, std::size_t pieceSize = 1)
    {
        auto progress = ReadProgress::NeedMore;
        while (!text.empty() && progress == ReadProgress::NeedMore) {
            auto piece = text.substr(0, pieceSize);
            const auto size = piece.size();
            progress = reader.feed(piece);
            text.remove_prefix(size - piece.size());
        }
        rest = text;
        return progress;
    }

    ResponseReader reader{false, 1000};
    std::string rest;
};

TEST_CASE_FIXTURE(ResponseReaderFixture, "response reader, body with a length, ends by it")
{
    CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1")
          == ReadProgress::Complete);
    CHECK(reader.takeResponse().body == "abc");
    CHECK(rest == "HTTP/1.1");
    CHECK(reader.keepsConnection());
}

TEST_CASE_FIXTURE(ResponseReaderFixture, "response reader, chunked body, is reassembled")
{
    CHECK(feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\nX")
          == ReadProgress::Complete);
    CHECK(reader.takeResponse().body == "abcde");
    CHECK(rest == "X");
}

// Guards against a truncated response that is accepted as complete.
TEST_CASE_FIXTURE(ResponseReaderFixture,
                  "response reader, chunked body without last empty line, is not complete")
{
    CHECK(feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n")
          == ReadProgress::NeedMore);
    CHECK_FALSE(reader.isCompletedByClose());
}

TEST_CASE_FIXTURE(ResponseReaderFixture,
                  "response reader, body without a length, ends by the close only")
{
    CHECK(feed("HTTP/1.1 200 OK\r\n\r\nabc") == ReadProgress::NeedMore);
    CHECK(reader.isCompletedByClose());
    CHECK(reader.takeResponse().body == "abc");
    CHECK_FALSE(reader.keepsConnection());
}

TEST_CASE_FIXTURE(ResponseReaderFixture, "response reader, interim response, is skipped")
{
    CHECK(feed("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
          == ReadProgress::Complete);
    CHECK(reader.takeResponse().status == 200);
}

// Guards against response splitting: two parsers would find different ends of the response.
TEST_CASE_FIXTURE(ResponseReaderFixture,
                  "response reader, both length and chunked framing, is malformed")
{
    CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n")
          == ReadProgress::Malformed);
}

TEST_CASE_FIXTURE(ResponseReaderFixture, "response reader, input that is not HTTP, is malformed")
{
    CHECK(feed("garbage\r\n\r\n", 64) == ReadProgress::Malformed);
}

TEST_CASE_FIXTURE(ResponseReaderFixture, "response reader, chunk with a wrong end, is malformed")
{
    CHECK(feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcX\r\n")
          == ReadProgress::Malformed);
}

TEST_CASE_FIXTURE(ResponseReaderFixture, "response reader, body beyond the limit, is too large")
{
    CHECK(feed("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\nabc") == ReadProgress::TooLarge);
}

TEST_CASE_FIXTURE(ResponseReaderFixture,
                  "response reader, Keep-Alive field, gives the idle timeout")
{
    feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nKeep-Alive: timeout=10\r\n\r\n");
    CHECK(reader.idleTimeout() == std::chrono::seconds(10));
}

struct RequestReaderFixture
{
    ReadProgress feed(std::string_view text)
    {
        auto progress = ReadProgress::NeedMore;
        while (!text.empty() && progress == ReadProgress::NeedMore) {
            auto piece = text.substr(0, 1);
            progress = reader.feed(piece);
            text.remove_prefix(1 - piece.size());
        }
        return progress;
    }

    RequestReader reader{200, 100};
};

TEST_CASE_FIXTURE(RequestReaderFixture,
                  "request reader, complete request, keeps the end-to-end fields only")
{
    CHECK(feed("POST /p/?q=1 HTTP/1.1\r\nHost: a\r\nX-Own: 1\r\nConnection: x-hop\r\nX-Hop: 2\r\n"
               "Content-Length: 3\r\n\r\nabc")
          == ReadProgress::Complete);
    const auto request = reader.takeRequest();
    CHECK(request.method == "POST");
    CHECK(request.requestTarget == "/p/?q=1");
    CHECK(request.body == "abc");
    REQUIRE(request.headers.size() == 2);
    CHECK(request.headers[0].name == "Host");
    CHECK(request.headers[1].name == "X-Own");
}

// Guards against request smuggling in the body of another request.
TEST_CASE_FIXTURE(RequestReaderFixture,
                  "request reader, both length and chunked framing, is refused")
{
    CHECK(feed("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: "
               "chunked\r\n\r\n")
          == ReadProgress::Malformed);
    CHECK(reader.refusalReason() == RefusalReason::BadFraming);
}

TEST_CASE_FIXTURE(RequestReaderFixture, "request reader, head beyond the limit, is refused")
{
    CHECK(feed("GET / HTTP/1.1\r\nHost: " + std::string(300, 'a')) == ReadProgress::TooLarge);
    CHECK(reader.refusalReason() == RefusalReason::HeaderTooLarge);
}

TEST_CASE_FIXTURE(RequestReaderFixture, "request reader, body beyond the limit, is refused")
{
    CHECK(feed("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
          != ReadProgress::Complete);
    std::string_view one = "x";
    CHECK(reader.feed(one) == ReadProgress::TooLarge);
    CHECK(reader.refusalReason() == RefusalReason::BodyTooLarge);
}

// Guards against a caller that waits in vain for 100 (Continue) before it sends its body.
TEST_CASE_FIXTURE(RequestReaderFixture, "request reader, Expect: 100-continue, is reported once")
{
    CHECK(feed("PUT / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
          == ReadProgress::NeedMore);
    CHECK(reader.takeContinueExpectation());
    CHECK_FALSE(reader.takeContinueExpectation());
}

TEST_SUITE_END();
