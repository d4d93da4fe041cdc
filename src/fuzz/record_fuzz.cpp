#include "bench/samplerecords.h"
#include "fuzz/fuzztarget.h"
#include "ownership/recordcodec.h"

using namespace gooseberrywall;

auto gooseberrywall::fuzzSamples() -> std::vector<std::string>
{
    return {encodeRecord(sampleRecord({3, 6, 2})), encodeRecord(sampleRecord({10, 40, 5}))};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    RecordDecoder decoder;
    if (const auto record = decoder.decode(bytes)) {
        fuzzCheck(decoder.decode(encodeRecord(*record)) == record,
                  "a record differs after encoding and decoding");
    }
    return 0;
}
