#include "bench/samplerecords.h"
#include "fuzz/fuzztarget.h"
#include "peerlink/peercodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>
#include <kj/exception.h>

using namespace gooseberrywall;

namespace {

auto encode(const PeerMessage &message) -> std::string
{
    capnp::MallocMessageBuilder builder;
    writePeerMessage(message, builder.initRoot<wire::Message>());
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    return {bytes.begin(), bytes.end()};
}

auto decode(const std::string &bytes) -> std::optional<PeerMessage>
{
    std::vector<capnp::word> words(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.data(), bytes.data(), words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(kj::arrayPtr(words.data(), words.size()));
        return readPeerMessage(reader.getRoot<wire::Message>());
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

} // namespace

auto gooseberrywall::fuzzSamples() -> std::vector<std::string>
{
    Heartbeat heartbeat;
    heartbeat.sequence = 4;
    heartbeat.claims = sampleClaims(3);
    ForwardRequest forward;
    forward.request.id = {"id-1"};
    forward.request.service = sampleService();
    forward.request.key = {"key"};
    forward.request.body = "body";
    return {encode(heartbeat), encode(forward), encode(TableUpdate{{3}, "bytes"}),
            encode(ShardReleased{{sampleService(), 3}, {1, 2}})};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const auto message = decode({data, data + size});
    if (message) {
        // Compared as bytes, as a message may contain NaN, which doesn't equal itself.
        const auto again = decode(encode(*message));
        fuzzCheck(again.has_value(), "an encoded message can't be decoded");
        fuzzCheck(encode(*again) == encode(*message),
                  "a message differs after encoding and decoding");
    }
    return 0;
}
