#include "configuration/manifestcodec.h"
#include "fuzz/fuzztarget.h"

using namespace gooseberrywall;

auto gooseberrywall::fuzzSamples() -> std::vector<std::string>
{
    Manifest manifest;
    manifest.generation = 7;
    manifest.operation = {"daemon-1-4"};
    manifest.entries = {{{"service fitment"}, 3, 12345, {"parts"}, false},
                        {{"team parts"}, 1, 67890, {"parts"}, true}};
    SectionRecord section;
    section.version = 3;
    section.operation = {"daemon-1-4"};
    section.team = {"parts"};
    section.previous = 2;
    section.text = "[service fitment]\nowner = parts\n";
    return {encodeManifest(manifest), encodeSectionRecord(section)};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const std::string_view text(reinterpret_cast<const char *>(data), size);
    if (const auto manifest = decodeManifest(text)) {
        fuzzCheck(decodeManifest(encodeManifest(*manifest)) == manifest,
                  "a manifest differs after encoding and decoding");
    }
    if (const auto record = decodeSectionRecord(text)) {
        fuzzCheck(decodeSectionRecord(encodeSectionRecord(*record)) == record,
                  "a section differs after encoding and decoding");
    }
    return 0;
}
