#include "fuzz/fuzztarget.h"
#include "platformclient/platformwire.h"

using namespace gooseberrywall;

auto gooseberrywall::fuzzSamples() -> std::vector<std::string>
{
    StoreAnswer answer;
    answer.status = StoreStatus::Ok;
    answer.items = {{"cell/a", std::string("\0\1binary", 8), {7}},
                    {"config/manifest", "text", {1}}};
    answer.vms = {{"vm-1", VmRole::Upstream, VmState::Leaving, {"fitment"}, {"a"}, {"10.0.0.1:1"}}};
    answer.revision = 12;
    answer.leaseHolder = "daemon-1";
    return {platformwire::encodeAnswer(answer),
            platformwire::encodeRequest(StoreCompareAndSwap{"a/b", "value", {3}}).body,
            platformwire::encodeRequest(StoreWatch{"a", 4, std::chrono::seconds{2}}).body};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (const auto answer = platformwire::decodeAnswer(bytes)) {
        const auto again = platformwire::decodeAnswer(platformwire::encodeAnswer(*answer));
        fuzzCheck(again == answer, "a store answer differs after encoding and decoding");
    }
    if (const auto request = platformwire::decodeRequest(bytes)) {
        const auto again = platformwire::decodeRequest(platformwire::encodeRequest(*request).body);
        fuzzCheck(again == request, "a store request differs after encoding and decoding");
    }
    return 0;
}
