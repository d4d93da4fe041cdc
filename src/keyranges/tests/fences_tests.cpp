#include "keyranges/rangegrantor.h"
#include "storelink/types/storecalls.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr KeyRange allKeys{0, 65535};
constexpr std::uint64_t fencesOfTerm = std::uint64_t{1} << 20U;

/// A grantor and its only upstream.
struct OneUpstream
{
    Instant now{seconds{100}};
    RangeGrantor grantor;

    explicit OneUpstream(std::uint64_t term)
        : grantor(RangeGrantorSettings{}, term)
    {
        UpstreamEntry entry;
        entry.id = UpstreamId{"a"};
        this->grantor.setUpstreams({entry}, this->now);
        this->grantor.adopt(RangeRecord{}, this->now);
        this->grantor.move({RangeMove{allKeys, entry.id}}, this->now);
        std::uint64_t version = 0;
        static_cast<void>(this->grantor.takeRecord(version));
        this->grantor.setAuthorityEnd(this->now + seconds{10});
        this->grantor.onRecordStored(version, this->now);
    }

    /// Has each second grant refused for its fence, so that a higher one is needed.
    /// @returns the highest fence of `orderCount` orders; zero where none is issued
    auto highestFence(std::uint64_t orderCount) -> std::uint64_t
    {
        std::uint64_t highest = 0;
        for (std::uint64_t count = 0; count < orderCount; ++count) {
            this->now += milliseconds{2000};
            this->grantor.setAuthorityEnd(this->now + seconds{1});
            this->grantor.advance(this->now);
            for (const auto &order : this->grantor.takeOrders()) {
                highest = std::max(highest, order.fence);
                const auto kind = count % 2 == 0 ? RangeOrderEnd::Kind::Accepted
                                                 : RangeOrderEnd::Kind::FenceTooLow;
                this->grantor.onOrderEnd({order.call, kind, ""}, this->now);
            }
        }
        return highest;
    }
};

} // namespace

// Guards against a fence of an earlier grantor that is above those of its successor.
SCENARIO("RangeGrantor: given more fences than a term has room for, they stay below those of later "
         "terms",
         "[keyranges][fences]")
{
    constexpr std::uint64_t term = 7;
    OneUpstream one(term);
    const auto lowestOfNext = ((term + 1) * fencesOfTerm) + 1;
    CHECK(one.highestFence(2 * fencesOfTerm + 100) < lowestOfNext);
    CHECK_FALSE(one.grantor.hasFence());
    WHEN("the store has reached later revisions, so that a successor's term is higher")
    {
        one.grantor.setStoreRevision(term + 5);
        CHECK(one.highestFence(100) >= lowestOfNext);
    }
}

// Guards against fences that start again from zero in an era that doesn't fit into them.
SCENARIO("RangeGrantor: given a term that doesn't fit into a fence, no key is granted",
         "[keyranges][fences]")
{
    OneUpstream fitting(storeRevision(255, 9).value);
    CHECK(fitting.highestFence(4) > storeRevision(255, 9).value);
    OneUpstream tooHigh(storeRevision(256, 9).value);
    CHECK(tooHigh.highestFence(4) == 0);
}

// Guards against releases whose fence is negative as a signed integer.
SCENARIO("RangeGrantor: given a term that doesn't fit into a fence, no release round starts",
         "[keyranges][fences]")
{
    const Instant now{seconds{100}};
    RangeGrantorSettings settings;
    settings.doReleasesRaiseFences = true;
    RangeGrantor grantor(settings, std::uint64_t{1} << 43U);
    std::vector<UpstreamEntry> entries(2);
    entries[0].id = UpstreamId{"a"};
    entries[1].id = UpstreamId{"b"};
    grantor.setUpstreams(entries, now);
    grantor.setAuthorityEnd(now + seconds{10});
    grantor.adoptOutdated(RangeRecord{}, now);
    grantor.advance(now);
    CHECK(grantor.takeOrders().empty());
}
