// Measures the processor time to encode and decode a forwarded request and a heartbeat.
#include "bench/messagesize.h"
#include "bench/samplerecords.h"
#include "peerlink/peercodec.h"

#include <benchmark/benchmark.h>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <string>

using namespace gooseberrywall;

namespace {

auto forwardRequest() -> PeerMessage
{
    ForwardRequest message;
    message.request.id = {"01890a5d-ac96-774b-bcce-000000000001"};
    message.request.caller = {"shop"};
    message.request.service = sampleService();
    message.request.key = {"part-100001"};
    message.request.operation = "lookup";
    message.request.body = std::string(200, 'x');
    return message;
}

auto heartbeat() -> PeerMessage
{
    Heartbeat message;
    message.claims = sampleClaims(8);
    return message;
}

auto writeAndRead(benchmark::State &state, const PeerMessage &message) -> void
{
    for (auto _ : state) {
        capnp::MallocMessageBuilder builder;
        writePeerMessage(message, builder.initRoot<wire::Message>());
        const auto words = capnp::messageToFlatArray(builder);
        capnp::FlatArrayMessageReader reader(words);
        benchmark::DoNotOptimize(readPeerMessage(reader.getRoot<wire::Message>()));
    }
    state.counters["bytes"] = static_cast<double>(serializedBytes(message));
}

} // namespace

BENCHMARK_CAPTURE(writeAndRead, forwardRequest, forwardRequest());
BENCHMARK_CAPTURE(writeAndRead, heartbeat, heartbeat());
