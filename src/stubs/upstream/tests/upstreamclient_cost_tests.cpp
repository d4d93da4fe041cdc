#include "stubs/upstream/upstreamserver.h"
#include "testing/testloop.h"
#include "upstreamclient/upstreamclient.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <ctime>
#include <future>
#include <iostream>
#include <thread>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

const ShardId shard{{"fitment"}, 3};
constexpr Fence fence{1, 1};
constexpr Incarnation incarnation{9};
constexpr int slots = 16;
constexpr std::uint64_t runCount = 10'000;
/// The target is 10000 runs per second on one core.
constexpr double microsPerRunLimit = 100.0;

/// Serves a stand-in upstream on its own thread, so that its processor time isn't counted.
class ServerThread
{
public:
    ServerThread()
        : thread([this] { this->serve(); })
    {
        this->address = this->bound.get_future().get();
    }
    ~ServerThread()
    {
        this->stopping = true;
        this->thread.join();
    }
    ServerThread(const ServerThread &) = delete;
    ServerThread(ServerThread &&) = delete;
    auto operator=(const ServerThread &) -> ServerThread & = delete;
    auto operator=(ServerThread &&) -> ServerThread & = delete;

    Address address;

private:
    auto serve() -> void
    {
        const TestLoop loop;
        UpstreamModelSettings settings;
        settings.slots = slots;
        settings.serviceTime = Duration{0};
        UpstreamServer server(loop.base(), settings, incarnation, [] {});
        this->bound.set_value(toAddress(*server.listen({"127.0.0.1", 0})));
        loop.runUntil([this] { return this->stopping.load(); }, 5min);
    }

    std::promise<Address> bound;
    std::atomic<bool> stopping = false;
    std::thread thread;
};

auto threadMicros() -> double
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

auto runOf(std::uint64_t attempt) -> RunRequest
{
    RunRequest run;
    run.attempt = {attempt};
    run.id = {"0190a5c8-7f00-7abc-8def-0123456789ab"};
    run.shard = shard;
    run.fence = fence;
    run.key = {"lid/28cm glass"};
    run.operation = "lookup";
    run.remaining = 10s;
    run.body = std::string(256, 'b');
    return run;
}

} // namespace

SCENARIO("UpstreamClient: given eight concurrent runs, each run takes at most 100 us of processor "
         "time",
         "[upstreamclient]")
{
    const ServerThread server;
    const TestLoop loop;
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t grants = 0;
    UpstreamClient *sender = nullptr;
    const auto startRun = [&] {
        started += 1;
        sender->send({{started + 1}, {"u1"}, server.address, runOf(started), 10s});
    };
    UpstreamClient client(loop.base(), {}, [&](CallId, const UpstreamAnswer &answer) {
        if (std::holds_alternative<GrantBatchAnswer>(answer)) {
            grants += 1;
            return;
        }
        const auto *run = std::get_if<RunAnswer>(&answer);
        done += run != nullptr && run->runStatus == RunStatus::Done ? 1 : 0;
        if (started < runCount) {
            startRun();
        }
    });
    sender = &client;
    client.send(
        {{1},
         {"u1"},
         server.address,
         GrantBatch{
             {"d1"}, {1}, incarnation, {{shard, fence, GrantAction::Grant, std::nullopt, 10min}}},
         10s});
    REQUIRE(loop.runUntil([&grants] { return grants == 1; }));
    const auto before = threadMicros();
    const auto wallStart = std::chrono::steady_clock::now();
    for (int connection = 0; connection < 8; ++connection) {
        startRun();
    }
    REQUIRE(loop.runUntil([&done] { return done == runCount; }, 2min));
    const auto microsPerRun = (threadMicros() - before) / static_cast<double>(runCount);
    const std::chrono::duration<double> wall = std::chrono::steady_clock::now() - wallStart;
    std::cout << "upstream client: " << microsPerRun << " us of processor time a run, "
              << static_cast<double>(runCount) / wall.count() << " runs/s by the wall clock\n";
    CHECK(microsPerRun < microsPerRunLimit);
}
