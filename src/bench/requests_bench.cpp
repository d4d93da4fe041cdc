// Measures the processor time of a request in the request core, without network and codec.
#include "requests/dispatcher.h"
#include "requests/requestrouter.h"

#include <benchmark/benchmark.h>
#include <deque>
#include <memory>
#include <string>
#include <variant>

using namespace gooseberrywall;

namespace {

constexpr int shardCount = 64;
constexpr int keyCount = 4096;
constexpr UnixMillis wallStart = 1'800'000'000'000;
const DaemonIdentity self{{"daemon-01"}, {1}, {"east"}, {{"10.0.0.1:7000"}}};
const DaemonId standby{"daemon-02"};

struct BenchGrants
{
    [[nodiscard]] auto fenceFor(Instant /*now*/, const ShardId & /*shard*/) const
        -> std::optional<Fence>
    {
        return Fence{1, 2};
    }
    [[nodiscard]] auto isGrantorOf(const UpstreamId & /*upstream*/) const -> bool { return true; }
};

/// One daemon that is both entry daemon and grantor of one upstream, which answers when told to.
class BenchCell
{
public:
    explicit BenchCell(int callers)
        : router(self, RouterSettings{}, this->counters, this->events, 1)
        , dispatcher(self, DispatcherSettings{}, this->grants, this->counters, this->events, 2)
        , callers(callers)
    {
        ServicePolicy policy;
        policy.service = {"fitment"};
        policy.shardCount = shardCount;
        policy.coldStart = Duration{0};
        this->router.onPolicies({policy});
        this->dispatcher.onPolicies({policy});
        const auto table = std::make_shared<const Table>(makeRecord());
        this->dispatcher.onTable(this->now, table, this->out);
        this->router.onTable(this->now, table, this->out);
        this->step();
    }

    auto submit(bool idempotent) -> void
    {
        const auto number = ++this->lastRequest;
        Request request;
        request.id = {"01890a5d-ac96-774b-bcce-" + std::to_string(100000000000 + number)};
        request.caller = {"caller-" + std::to_string(number % this->callers)};
        request.service = {"fitment"};
        request.key = {"pot-lid-" + std::to_string(number % keyCount)};
        request.operation = "lookup";
        request.idempotent = idempotent;
        request.issuedAt = this->wallClock();
        request.deadline = this->now + std::chrono::seconds{5};
        request.body = std::string(200, 'x');
        this->router.onRequest(this->now, ExchangeId{number}, std::move(request), this->out);
        this->deliver();
    }

    /// Answers the oldest request that the upstream runs, which admits the next waiting request.
    auto answer() -> void
    {
        for (auto &send : std::exchange(this->out.upstreamSends, {})) {
            this->running.push_back(std::move(send));
        }
        if (this->running.empty()) {
            return;
        }
        const auto send = std::move(this->running.front());
        this->running.pop_front();
        if (const auto *run = std::get_if<RunRequest>(&send.request)) {
            RunAnswer answer;
            answer.attempt = run->attempt;
            answer.status = 200;
            answer.serviceTime = std::chrono::milliseconds{3};
            answer.body = run->body;
            this->dispatcher.onUpstreamAnswer(this->now, send.call, answer, this->out);
        }
        this->deliver();
        for (const auto &send : this->out.callerSends) {
            this->answered += send.end.kind == EndKind::Answer ? 1 : 0;
        }
        this->out.callerSends.clear();
    }

    /// @returns the number of requests that were answered so far
    [[nodiscard]] auto answers() const -> std::uint64_t { return this->answered; }

    auto step() -> void
    {
        this->now += std::chrono::milliseconds{3};
        if (++this->steps % 2 == 0) {
            this->dispatcher.onWallClock(this->wallClock());
            this->dispatcher.tick(this->now, this->out);
            this->router.tick(this->now, this->out);
            static_cast<void>(this->dispatcher.takeRuns());
            this->deliver();
        }
    }

private:
    [[nodiscard]] auto wallClock() const -> UnixMillis
    {
        const auto sinceStart = this->now.time_since_epoch();
        return wallStart
               + std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count();
    }

    static auto makeRecord() -> CellRecord
    {
        CellRecord record;
        record.version = {1};
        record.services = {{{"fitment"}, shardCount}};
        UpstreamEntry upstream;
        upstream.id = {"fitment-01"};
        upstream.service = {"fitment"};
        upstream.incarnation = {1};
        upstream.grantor = self.id;
        upstream.grantorIncarnation = self.incarnation;
        upstream.term = {1};
        upstream.standby = standby;
        upstream.standbyIncarnation = {1};
        record.upstreams = {upstream};
        for (std::uint32_t number = 0; number < shardCount; ++number) {
            ShardEntry shard;
            shard.id = {{"fitment"}, number};
            shard.stage = ShardStage::Owned;
            shard.owner = upstream.id;
            shard.fence = {1, 2};
            record.shards.push_back(shard);
        }
        return record;
    }

    auto deliver() -> void
    {
        while (!this->out.peerSends.empty()) {
            for (const auto &send : std::exchange(this->out.peerSends, {})) {
                if (const auto *update = std::get_if<MirrorUpdate>(&send.message)) {
                    const MirrorAnswer answer{update->upstream, update->term, update->sequence};
                    this->dispatcher.onMessage(this->now, standby, answer, this->out);
                } else if (!this->router.onMessage(this->now, self.id, send.message, this->out)) {
                    this->dispatcher.onMessage(this->now, self.id, send.message, this->out);
                }
            }
        }
    }

    Counters counters;
    EventRing events;
    BenchGrants grants;
    RequestRouter router;
    Dispatcher<BenchGrants> dispatcher;
    Outbox out;
    Instant now{std::chrono::seconds{1}};
    int callers;
    std::uint64_t lastRequest = 0;
    std::uint64_t steps = 0;
    std::uint64_t answered = 0;
    std::deque<UpstreamSend> running;
};

/// Measures a whole request with an idle upstream.
auto idleRequest(benchmark::State &state) -> void
{
    BenchCell cell(10);
    const bool idempotent = state.range(0) != 0;
    for (auto _ : state) {
        cell.submit(idempotent);
        cell.answer();
        cell.step();
    }
    state.counters["answered"] =
        static_cast<double>(cell.answers()) / static_cast<double>(state.iterations());
}

/// Measures a whole request while 128 others wait.
auto queuedRequest(benchmark::State &state) -> void
{
    BenchCell cell(static_cast<int>(state.range(0)));
    for (int number = 0; number < 128; ++number) {
        cell.submit(true);
    }
    for (auto _ : state) {
        cell.submit(true);
        cell.answer();
        cell.step();
    }
    state.counters["answered"] =
        static_cast<double>(cell.answers()) / static_cast<double>(state.iterations());
}

} // namespace

BENCHMARK(idleRequest)->ArgName("idempotent")->Arg(1)->Arg(0);
BENCHMARK(queuedRequest)->ArgName("callers")->Arg(1)->Arg(10)->Arg(100);
BENCHMARK_MAIN();
