#include "edge/grantorrole.h"
#include "keyranges/rangerecordcodec.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string recordKey = "gw/ranges/fitment@1";

/// A candidate for grantor whose store is scripted: the read of the range record is answered when
/// the test says so.
struct RecordReadFixture
{
    struct PendingCall
    {
        StoreCall call;
        std::function<void(const StoreAnswer &)> done;
    };

    Instant now{seconds{100}};
    std::uint64_t era = 1;
    std::uint64_t revision = 10;
    bool isReadKept = true;
    std::deque<PendingCall> calls;
    std::optional<PendingCall> keptRead;
    std::vector<RangeOrder> orders;
    Logger logger{"error", 1};
    RequestLog log{this->logger, 0};
    UpstreamEntry upstream;
    GrantorRole role;

    RecordReadFixture()
        : upstream(upstreamEntry())
        , role(
              spec(), settings(),
              [this](StoreCall call, Duration, std::function<void(StoreAnswer)> done) {
                  this->calls.push_back(PendingCall{std::move(call), std::move(done)});
              },
              [this](const RangeOrder &order, const std::function<void(RangeOrderEnd)> &) {
                  this->orders.push_back(order);
              },
              [this] { return this->now; }, this->logger, this->log)
    {
        this->role.onStoreEra(this->era);
        this->role.onUpstreams({this->upstream});
        this->role.onGrantor(std::nullopt, 0);
    }

    static auto upstreamEntry() -> UpstreamEntry
    {
        UpstreamEntry entry;
        entry.id = UpstreamId{"u0"};
        entry.service = spec().name;
        entry.address = Address{"10.1.0.1:80"};
        entry.incarnation = Incarnation{200};
        return entry;
    }

    static auto spec() -> ServiceSpec
    {
        ServiceSpec result;
        result.name = ServiceName{"fitment"};
        result.isSharded = true;
        return result;
    }

    static auto settings() -> GrantorRoleSettings
    {
        GrantorRoleSettings result;
        result.daemon = DaemonId{"d1"};
        result.peerAddress = Address{"10.0.0.1:7000"};
        result.incarnation = 1;
        return result;
    }

    /// Answers a call as the store does in its present era, which has a record of the first era.
    auto answer(const PendingCall &pending) -> void
    {
        StoreAnswer answer;
        answer.kind = StoreAnswer::Kind::Ok;
        answer.era = this->era;
        answer.revision = storeRevision(this->era, ++this->revision);
        answer.lease = StoreLease{5};
        if (const auto *read = std::get_if<StoreGet>(&pending.call)) {
            answer.kind = StoreAnswer::Kind::NotFound;
            if (read->key == recordKey) {
                const RangeHolder holder{this->upstream.id, this->upstream.incarnation,
                                         this->upstream.address};
                StoreItem item;
                item.key = read->key;
                item.value = encodeRangeRecord(RangeRecord{{RangeRow{{0, 65535}, holder, {}}}});
                item.revision = storeRevision(this->era, 7);
                item.created = item.revision;
                answer.kind = StoreAnswer::Kind::Ok;
                answer.items = {item};
            }
        }
        this->role.onStoreEra(this->era);
        pending.done(answer);
    }

    auto run(Duration duration) -> void
    {
        for (const auto end = this->now + duration; this->now < end;
             this->now += milliseconds{10}) {
            this->role.advance();
            while (!this->calls.empty()) {
                const auto pending = this->calls.front();
                this->calls.pop_front();
                const auto *read = std::get_if<StoreGet>(&pending.call);
                if (this->isReadKept && read != nullptr && read->key == recordKey) {
                    this->keptRead = pending;
                } else {
                    this->answer(pending);
                }
            }
        }
    }
};

} // namespace

// Guards against two owners of a key: the record of a copy counted as the newest because the store
// came back while the record was read.
SCENARIO(
    "GrantorRole: given a store that comes back from a copy while the record is read, the copy "
    "isn't taken for the newest record",
    "[edge][restored]")
{
    RecordReadFixture fixture;
    fixture.run(milliseconds{2700});
    REQUIRE(fixture.role.isLeading());
    REQUIRE(fixture.keptRead.has_value());
    fixture.era = 2;
    fixture.isReadKept = false;
    fixture.answer(*fixture.keptRead);
    fixture.run(seconds{1});
    CHECK(fixture.orders.empty());
}
