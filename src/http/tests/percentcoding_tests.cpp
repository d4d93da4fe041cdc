#include "http/endpoint.h"
#include "http/percentcoding.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gooseberrywall;

SCENARIO("percentEncode and percentDecode preserve any bytes", "[percentcoding]")
{
    CHECK(rc::check("decoding returns the encoded bytes", [](const std::string &bytes) {
        RC_ASSERT(percentDecode(percentEncode(bytes)) == bytes);
    }));
    CHECK(rc::check("an encoded text is valid in a header", [](const std::string &bytes) {
        for (const auto letter : percentEncode(bytes)) {
            RC_ASSERT(letter > ' ');
            RC_ASSERT(letter <= '~');
        }
    }));
    CHECK_FALSE(percentDecode("%4").has_value());
    CHECK_FALSE(percentDecode("a%zz").has_value());
    CHECK_FALSE(percentDecode("%").has_value());
}

SCENARIO("parseEndpoint accepts numeric addresses only", "[endpoint]")
{
    CHECK(parseEndpoint({"127.0.0.1:80"}) == Endpoint{"127.0.0.1", 80});
    CHECK(parseEndpoint({"[::1]:8080"}) == Endpoint{"::1", 8080});
    CHECK(toAddress({"::1", 8080}) == Address{"[::1]:8080"});
    for (const auto *text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000",
                             "127.0.0.1:8x", ":80", ""}) {
        INFO(text);
        CHECK_FALSE(parseEndpoint({text}).has_value());
    }
}
