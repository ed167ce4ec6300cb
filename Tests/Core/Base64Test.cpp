#include "Core/Encoding/CoreEncoding.h"

#include <doctest/doctest.h>

using namespace Sapphireladder;

TEST_SUITE_BEGIN("Core");

struct Base64Fixture
{};

TEST_CASE_FIXTURE(Base64Fixture, "base64, any bytes, round trip unchanged")
{
    for (const auto &it :
         {std::string(), std::string("a"), std::string("\0\xff\n", 3), std::string(1000, '\x7f')}) {
        const auto text = encodeBase64(it);
        CHECK(text.find('\n') == std::string::npos);
        CHECK(decodeBase64(text).value() == it);
    }
}

// Guards against reading a row that another program wrote in another format as an empty one.
TEST_CASE_FIXTURE(Base64Fixture, "base64, invalid text, is rejected")
{
    CHECK(decodeBase64("!!!!").error().code == CoreError::InvalidBase64);
}

TEST_SUITE_END();
