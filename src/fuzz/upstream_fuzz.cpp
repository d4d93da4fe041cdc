#include "fuzz/fuzztarget.h"
#include "upstreamclient/upstreamwire.h"

using namespace gooseberrywall;

namespace {

const ShardId shard{{"fitment"}, 3};

auto grantBatch() -> GrantBatch
{
    GrantBatch batch;
    batch.grantor = {"daemon-1"};
    batch.term = {4};
    batch.incarnation = {5};
    batch.orders = {{shard, {4, 6}, GrantAction::Grant, {}, std::chrono::milliseconds{1500}}};
    return batch;
}

} // namespace

auto gooseberrywall::fuzzSamples() -> std::vector<std::string>
{
    GrantBatchAnswer answer;
    answer.incarnation = {5};
    answer.results = {{shard, GrantStatus::Done, {4, 6}}};
    answer.held = {{shard, {4, 6}, {}}};
    return {upstreamwire::encodeAnswer(answer).body,
            upstreamwire::encodeAnswer(UpstreamReport{}).body,
            upstreamwire::encodeRequest(grantBatch()).body};
}

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) -> int
{
    const std::string body(data, data + size);
    for (const auto &request : {UpstreamRequest{grantBatch()}, UpstreamRequest{UpstreamProbe{}}}) {
        HttpAnswer answer;
        answer.status = upstreamwire::okStatus;
        answer.body = body;
        const auto read = upstreamwire::decodeAnswer(request, answer);
        if (!std::holds_alternative<UpstreamFailure>(read)) {
            const auto again =
                upstreamwire::decodeAnswer(request, upstreamwire::encodeAnswer(read));
            fuzzCheck(again == read, "an upstream answer differs after encoding and decoding");
        }
    }
    const auto orders = upstreamwire::decodeRequest(
        upstreamwire::grantsTarget, [](const char *) { return nullptr; }, body);
    if (orders) {
        const auto encoded = upstreamwire::encodeRequest(*orders).body;
        const auto again = upstreamwire::decodeRequest(
            upstreamwire::grantsTarget, [](const char *) { return nullptr; }, encoded);
        fuzzCheck(again == orders, "grant orders differ after encoding and decoding");
    }
    return 0;
}
