#include "configuration/document.h"
#include "fuzz/fuzztarget.h"

using namespace gooseberrywall;

auto gooseberrywall::fuzzSamples() -> std::vector<std::string>
{
    return {"[team parts]\ncontact = shop\n[service fitment]\nowner = parts\nshard_count = 64\n",
            "[service fitment]\nowner = parts\nqueue_limit = 100\ngrant_time_to_live = 1500 ms\n"};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    const auto sections = splitSections(text);
    DocumentParser parser;
    const auto first = parser.parse(sections);
    fuzzCheck(parser.parse(sections) == first, "a document parses differently the second time");
    return 0;
}
