#pragma once

#include "stubs/upstream/upstreammodel.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywall {

using namespace std::chrono_literals;

inline const ShardId shard{{"fitment"}, 3};
inline constexpr Incarnation incarnation{77};

inline auto at(Duration time) -> Instant
{
    return Instant{time};
}

inline auto batchOf(GrantAction action, Fence fence, Duration timeToLive,
                    std::optional<UpstreamInstant> until = std::nullopt) -> GrantBatch
{
    return {{"d1"}, Term{fence.term}, incarnation, {{shard, fence, action, until, timeToLive}}};
}

inline auto runOf(std::uint64_t attempt, Fence fence, std::string operation = "sleep-10")
    -> RunRequest
{
    RunRequest run;
    run.attempt = {attempt};
    run.id = {"r" + std::to_string(attempt)};
    run.shard = shard;
    run.fence = fence;
    run.key = {"lid"};
    run.operation = std::move(operation);
    run.remaining = 1s;
    return run;
}

/// Sends calls to an UpstreamModel and collects its replies.
class ModelSender
{
public:
    explicit ModelSender(UpstreamModelSettings settings = {})
        : model(std::move(settings), incarnation, at(0s))
    {
    }

    auto send(Duration time, UpstreamRequest request) -> CallId
    {
        this->lastCall = this->lastCall.next();
        this->model.receive(at(time), this->lastCall, std::move(request));
        this->collect();
        return this->lastCall;
    }

    auto advance(Duration time) -> void
    {
        this->model.advance(at(time));
        this->collect();
    }

    auto collect() -> void
    {
        for (auto &reply : this->model.takeReplies()) {
            this->replies.push_back(std::move(reply));
        }
    }

    template<typename Answer>
    auto answer(CallId call) -> std::optional<Answer>
    {
        for (const auto &reply : this->replies) {
            if (reply.call == call) {
                const auto *found = std::get_if<Answer>(&reply.answer);
                return found != nullptr ? std::optional{*found} : std::nullopt;
            }
        }
        return std::nullopt;
    }

    auto runStatus(CallId call) -> std::optional<RunStatus>
    {
        const auto found = this->answer<RunAnswer>(call);
        return found.has_value() ? std::optional{found->runStatus} : std::nullopt;
    }

    auto grantStatus(CallId call) -> std::optional<GrantStatus>
    {
        const auto found = this->answer<GrantBatchAnswer>(call);
        const auto hasOneResult = found.has_value() && found->results.size() == 1;
        return hasOneResult ? std::optional{found->results.front().status} : std::nullopt;
    }

    UpstreamModel model;

private:
    CallId lastCall;
    std::vector<UpstreamReply> replies;
};

} // namespace gooseberrywall
