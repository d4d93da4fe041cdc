#include "compression/textcompression.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

constexpr std::size_t sizeLimit = 1 << 20;

auto routes(int count, int firstPriority) -> std::string
{
    std::string result;
    for (auto number = 0; number < count; ++number) {
        result += R"({"name":"route-)" + std::to_string(number * 7919 % 100003) + R"(","prefix":"/)"
                  + std::to_string(number * 104729 % 1000003) + R"(/","priority":)"
                  + std::to_string(number == 0 ? firstPriority : 1) + "},";
    }
    return result;
}

} // namespace

SCENARIO("Compressed texts are read as they were written", "[compression]")
{
    const auto text = routes(2000, 1);
    const auto changed = routes(2000, 5);
    GIVEN("no base")
    {
        const auto frame = compressed(text, "");
        REQUIRE(frame);
        CHECK(frame->size() < text.size() / 3);
        CHECK(decompressed(*frame, "", sizeLimit) == text);
        CHECK(decompressed(*compressed("", ""), "", sizeLimit) == "");
    }
    GIVEN("a base that differs in one route")
    {
        const auto frame = compressed(changed, text);
        REQUIRE(frame);
        CHECK(frame->size() < 200);
        CHECK(decompressed(*frame, text, sizeLimit) == changed);
    }
    GIVEN("a reader with another base")
    {
        const std::string reversed(text.rbegin(), text.rend());
        CHECK_FALSE(decompressed(*compressed(changed, text), reversed, sizeLimit));
        CHECK_FALSE(decompressed(*compressed(changed, text), "", sizeLimit));
    }
}

SCENARIO("Compressed texts: malformed and oversized frames are refused", "[compression]")
{
    const auto text = routes(500, 1);
    const auto frame = *compressed(text, "");
    CHECK_FALSE(decompressed(frame, "", text.size() - 1));
    CHECK_FALSE(decompressed("", "", sizeLimit));
    CHECK_FALSE(decompressed("not a frame", "", sizeLimit));
    CHECK_FALSE(decompressed(frame.substr(0, frame.size() / 2), "", sizeLimit));
    for (std::size_t at = 0; at < frame.size(); at += 97) {
        auto damaged = frame;
        damaged[at] = static_cast<char>(damaged[at] ^ 0x20);
        const auto read = decompressed(damaged, "", sizeLimit);
        CHECK((!read || *read == text));
    }
}
