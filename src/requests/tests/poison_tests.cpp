#include "requests/tests/endchecker.h"
#include "requests/tests/testcell.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> upstreams{"u0", "u1", "u2", "u3"};
const RequestId poisonId{"poison"};

auto servicePolicy() -> ServicePolicy
{
    ServicePolicy policy;
    policy.service = {"fitment"};
    policy.shardCount = 8;
    policy.coldStart = Duration{0};
    return policy;
}

/// A cell in which one caller keeps sending a request that crashes the upstream that runs it, while
/// others send ordinary ones. Shards of a crashed upstream go to the next one; it restarts without
/// shards.
class PoisonedCell
{
public:
    PoisonedCell(std::uint64_t seed, bool idempotent)
        : cell(seed, 4, servicePolicy())
        , random(seed * 104729)
        , idempotent(idempotent)
    {
        for (int index = 0; index < 4; ++index) {
            UpstreamModelSettings model;
            model.serviceTime = milliseconds{8};
            this->cell.addUpstream(upstreams[static_cast<std::size_t>(index)], index,
                                   (index + 1) % 4, model);
        }
        for (std::uint32_t shard = 0; shard < 8; ++shard) {
            this->cell.assign(shard, upstreams[shard % 4]);
        }
        this->cell.publish();
        this->cell.at(seconds{2}, [this] { this->sendPoison(); });
        this->cell.at(seconds{2}, [this] { this->sendOrdinary(); });
        this->cell.at(seconds{2}, [this] { this->coordinate(); });
        this->cell.at(seconds{40}, [this] { this->isFinished = true; });
        this->cell.runUntil(seconds{50});
    }

    TestCell cell;
    int crashes = 0;
    int poisonSent = 0;
    int ordinarySent = 0;
    int ordinaryAnswered = 0;

private:
    auto after(Duration delay, std::function<void()> action) -> void
    {
        this->cell.at(this->cell.now().time_since_epoch() + delay, std::move(action));
    }

    auto sendPoison() -> void
    {
        if (this->isFinished) {
            return;
        }
        Request request;
        request.id = poisonId;
        request.caller = {"shop"};
        request.key = {"lid 7"};
        request.operation = "crash-4";
        request.idempotent = this->idempotent;
        ++this->poisonSent;
        this->cell.submit(static_cast<int>(this->random() % 4), request, milliseconds{500});
        this->after(milliseconds{20}, [this] { this->sendPoison(); });
    }

    auto sendOrdinary() -> void
    {
        if (this->isFinished) {
            return;
        }
        Request request;
        request.id = {"o" + std::to_string(++this->ordinarySent)};
        request.caller = {"desk"};
        request.key = {"key " + std::to_string(this->random() % 100)};
        request.operation = "lookup";
        this->sendUntilAnswered(request, 0);
        this->after(milliseconds{4}, [this] { this->sendOrdinary(); });
    }

    auto sendUntilAnswered(const Request &request, int tries) -> void
    {
        const auto index =
            this->cell.submit(static_cast<int>(this->random() % 4), request, milliseconds{800});
        this->after(milliseconds{1000}, [this, request, tries, index] {
            const auto &ends = this->cell.callers()[index].ends;
            if (!ends.empty() && ends[0].kind == EndKind::Answer) {
                ++this->ordinaryAnswered;
            } else if (tries < 5) {
                this->sendUntilAnswered(request, tries + 1);
            }
        });
    }

    auto coordinate() -> void
    {
        for (std::size_t index = 0; index < upstreams.size(); ++index) {
            auto &model = this->cell.model(upstreams[index]);
            if (model.crashed()
                && this->handledCrashes.insert({index, model.incarnation()}).second) {
                ++this->crashes;
                this->after(milliseconds{400}, [this, index] { this->moveAway(index); });
            }
        }
        this->after(milliseconds{10}, [this] { this->coordinate(); });
    }

    auto moveAway(std::size_t index) -> void
    {
        const auto next = this->cell.model(upstreams[index]).incarnation().next();
        this->cell.model(upstreams[index]).restart(this->cell.now(), next);
        this->cell.record.upstreams[index].incarnation = next;
        for (std::uint32_t shard = 0; shard < 8; ++shard) {
            if (this->cell.record.shards[shard].owner.value == upstreams[index]) {
                this->cell.assign(shard, upstreams[(index + 1) % upstreams.size()]);
            }
        }
        this->cell.publish();
    }

    std::mt19937_64 random;
    bool idempotent;
    bool isFinished = false;
    std::set<std::pair<std::size_t, Incarnation>> handledCrashes;
};

} // namespace

SCENARIO("Dispatcher quarantines a poison request that is sent repeatedly", "[poison]")
{
    for (const bool idempotent : {true, false}) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            GIVEN("a request that crashes the upstream that runs it, idempotent "
                  << idempotent << ", seed " << seed)
            {
                PoisonedCell poisoned(seed, idempotent);
                int innocentQuarantined = 0;
                int poisonQuarantined = 0;
                for (const auto &view : poisoned.cell.callers()) {
                    for (const auto &end : view.ends) {
                        const bool isPoison = view.request.id == poisonId;
                        const int count = end.reason == Reason::Quarantined ? 1 : 0;
                        (isPoison ? poisonQuarantined : innocentQuarantined) += count;
                    }
                }
                std::cout << "poison idempotent=" << idempotent << " seed=" << seed
                          << " sent=" << poisoned.poisonSent << " crashes=" << poisoned.crashes
                          << " quarantined=" << poisonQuarantined
                          << " innocent_quarantined=" << innocentQuarantined
                          << " ordinary_sent=" << poisoned.ordinarySent
                          << " ordinary_answered=" << poisoned.ordinaryAnswered << '\n';
                THEN("it crashes at most two upstreams, and all other requests are answered")
                {
                    CHECK(poisoned.crashes >= 1);
                    CHECK(poisoned.crashes <= 2);
                    CHECK(innocentQuarantined == 0);
                    CHECK(poisoned.ordinaryAnswered == poisoned.ordinarySent);
                    CHECK(checkEnds(poisoned.cell, upstreams, {}) == Violations{});
                }
            }
        }
    }
}
