#include "Request/Http/RequestHttp.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Request");

namespace {

struct HeadParserFixture
{
    bool parseRequest(std::string_view line, std::string_view fields = "Host: a\r\n")
    {
        request.clear();
        return parseRequestHead(std::string(line) + "\r\n" + std::string(fields), request);
    }
    bool parseResponse(std::string_view line)
    {
        return parseResponseHead(std::string(line) + "\r\nContent-Length: 0\r\n", response);
    }

    Poco::Net::HTTPRequest request;
    Poco::Net::HTTPResponse response;
};

} // namespace

// Guards against fields that POCO modifies by decoding RFC 2047 encoded words, which may even
// insert a line end.
TEST_CASE_FIXTURE(HeadParserFixture, "request head, encoded words, are kept unchanged")
{
    REQUIRE(parseRequest("GET /q?a=?b HTTP/1.1", "X: =?utf-8?Q?a=0D=0AB:_c?=\r\n"
                                                 "Referer: /q?a=?b&c=?d\r\nEmpty:\r\n"
                                                 "Spaced: \t a b \t\r\n"));
    CHECK(request.getURI() == "/q?a=?b");
    CHECK(request.get("X") == "=?utf-8?Q?a=0D=0AB:_c?=");
    CHECK(request.get("Referer") == "/q?a=?b&c=?d");
    CHECK(request.get("Empty").empty());
    CHECK(request.get("Spaced") == "a b");
    CHECK_FALSE(parseRequest("GET /a HTTP/1.1", "X: =\x01utf-8\r\n"));
}

// Guards against request lines of which POCO ignores a part.
TEST_CASE_FIXTURE(HeadParserFixture, "request head, malformed request line, is rejected")
{
    CHECK(parseRequest("GET /a HTTP/1.0"));
    CHECK(parseRequest("GET /a HTTP/1.1"));
    for (const auto *it : {"GET /a HTTP/1.1 x", "GET  /a HTTP/1.1", "GET /a HTTP/1.1 ",
                           " GET /a HTTP/1.1", "GET /a\tb HTTP/1.1", "GET /a\vb HTTP/1.1",
                           "GET /a HTTP/1.11", "GET /\xff HTTP/1.1", "GET /a", ""}) {
        CAPTURE(it);
        CHECK_FALSE(parseRequest(it));
    }
}

// Guards against truncating fields that exceed POCO's limits.
TEST_CASE_FIXTURE(HeadParserFixture, "request head, many or long fields, are complete or rejected")
{
    std::string many;
    for (int i = 0; i < 2000; ++i)
        many += "X: 1\r\n";
    REQUIRE(parseRequest("GET /a HTTP/1.1", many));
    CHECK(request.size() == 2000);
    const std::string longest(8192, 'x');
    REQUIRE(parseRequest("GET /a HTTP/1.1", "X: " + longest + "\r\n"));
    CHECK(request.get("X") == longest);
    CHECK_FALSE(parseRequest("GET /a HTTP/1.1", "X: x" + longest + "\r\n"));
    CHECK_FALSE(parseRequest("GET /a HTTP/1.1", std::string(257, 'n') + ": x\r\n"));
}

// Guards against status lines of which POCO ignores a part.
TEST_CASE_FIXTURE(HeadParserFixture, "response head, malformed status line, is rejected")
{
    for (const auto *it : {"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 a b"})
        CHECK(parseResponse(it));
    for (const auto *it :
         {"HTTP/1.1 099 x", "HTTP/1.1 600 x", "HTTP/1.1 2000 x", "HTTP/1.1 20 x", "HTTP/1.1 2x0 x",
          "HTTP/1.1 -20 x", "HTTP/1.1  200 x", "HTTP/2.0 200 x", "HTTP/1.1 200 a\x01", ""}) {
        CAPTURE(it);
        CHECK_FALSE(parseResponse(it));
    }
}

TEST_SUITE_END();
