#include "crowd/types/crowdrequest.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

/// @returns the whole text, put together as a caller sends it
auto wholeText(const CrowdRequest &request) -> std::string
{
    std::string text;
    while (text.size() < request.size()) {
        text += request.textAt(text.size());
    }
    return text;
}

auto bodyOf(const std::string &text) -> std::string
{
    return text.substr(text.find("\r\n\r\n") + 4);
}

} // namespace

// Guards against crowd tests that send malformed requests, which would be refused at once.
SCENARIO("CrowdRequest: the parts make up a well-formed request")
{
    GIVEN("an announced body that is longer than a block")
    {
        constexpr std::size_t bodyBytes = 200'000;
        const auto text = wholeText(announcedRequest("/a", "id-1", bodyBytes, bodyBytes, false));
        THEN("its text has the announced length and asks for the connection to be closed")
        {
            CHECK(text.starts_with("PUT /a HTTP/1.1\r\n"));
            CHECK(text.find("\r\nContent-Length: 200000\r\n") != std::string::npos);
            CHECK(text.find("\r\nConnection: close\r\n") != std::string::npos);
            CHECK(bodyOf(text) == std::string(bodyBytes, 'x'));
        }
    }
    GIVEN("a body in chunks of ten bytes that doesn't end with a block")
    {
        constexpr std::size_t chunks = 10'001;
        const auto text = wholeText(chunkedRequest("/a", "id-1", chunks * 10 + 3, 10));
        THEN("its text consists of whole chunks and the last chunk")
        {
            std::string body;
            for (std::size_t index = 0; index < chunks; ++index) {
                body += "a\r\nxxxxxxxxxx\r\n";
            }
            CHECK(text.find("\r\nTransfer-Encoding: chunked\r\n") != std::string::npos);
            CHECK(bodyOf(text) == body + "0\r\n\r\n");
        }
    }
}
