#include "election/grantorelection.h"
#include "storelink/tests/fakestore.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using State = GrantorElection::State;

namespace {

/// Daemons that compete for one key of a store, in virtual time.
struct Trial
{
    FakeStore store;
    std::vector<std::unique_ptr<GrantorElection>> daemons;
    /// For each daemon: whether it is stopped.
    std::vector<bool> isFrozen;
    /// Added to the claim delay of the first daemon.
    Duration firstClaimDelay{0};
    /// Steps in which more than one daemon had authority.
    int doubleAuthorityCount = 0;

    explicit Trial(std::size_t count)
        : isFrozen(count, false)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->daemons.push_back(std::make_unique<GrantorElection>(
                "grantor", "daemon-" + std::to_string(index), ElectionSettings{},
                this->store.sender(), [this] { return this->store.now(); }));
        }
    }

    auto run(Duration time) -> void
    {
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{10}) {
            const auto *item = this->store.find("grantor");
            std::optional<ElectedGrantor> grantor;
            if (item != nullptr) {
                grantor = ElectedGrantor{item->value, item->created};
            }
            auto authorityCount = 0;
            for (std::size_t index = 0; index < this->daemons.size(); ++index) {
                if (this->isFrozen[index]) {
                    continue;
                }
                const auto delay =
                    index == 0 ? this->firstClaimDelay : milliseconds{50} * static_cast<int>(index);
                this->daemons[index]->onElectedGrantor(grantor, delay);
                this->daemons[index]->advance();
            }
            for (const auto &daemon : this->daemons) {
                const auto isLeading = daemon->state() == State::Leading;
                authorityCount += isLeading && daemon->authorityEnd() > this->store.now() ? 1 : 0;
            }
            this->doubleAuthorityCount += authorityCount > 1 ? 1 : 0;
            this->store.advance(milliseconds{10});
        }
    }

    /// @returns the daemon that leads with authority
    [[nodiscard]] auto leader() const -> std::optional<std::size_t>
    {
        for (std::size_t index = 0; index < this->daemons.size(); ++index) {
            const auto &daemon = *this->daemons[index];
            if (daemon.state() == State::Leading && daemon.authorityEnd() > this->store.now()) {
                return index;
            }
        }
        return std::nullopt;
    }
};

} // namespace

SCENARIO("GrantorElection waits longer if the daemon becomes grantor of another service meanwhile",
         "[election]")
{
    FakeStore store;
    GrantorElection election("grantor", "daemon", ElectionSettings{}, store.sender(),
                             [&store] { return store.now(); });
    const auto start = store.now();
    election.onElectedGrantor(std::nullopt, milliseconds{100});
    store.advance(milliseconds{50});
    election.onElectedGrantor(std::nullopt, milliseconds{600});
    election.onElectedGrantor(std::nullopt, milliseconds{600});
    CHECK(election.nextDue() == start + milliseconds{600});
}

SCENARIO("GrantorElection elects one daemon as grantor", "[election]")
{
    Trial trial(4);
    trial.run(seconds{2});
    REQUIRE(trial.leader() == std::size_t{0});
    const auto term = trial.daemons[0]->term();
    WHEN("the grantor is frozen")
    {
        trial.isFrozen[0] = true;
        trial.run(milliseconds{2500});
        THEN("another daemon leads with a higher term, and never both have authority")
        {
            REQUIRE(trial.leader().has_value());
            CHECK(*trial.leader() != 0);
            CHECK(trial.daemons[*trial.leader()]->term() > term);
            CHECK(trial.doubleAuthorityCount == 0);
        }
        THEN("it follows after it is unfrozen")
        {
            trial.isFrozen[0] = false;
            trial.run(seconds{1});
            CHECK(trial.daemons[0]->state() == State::Following);
            CHECK(trial.doubleAuthorityCount == 0);
        }
    }
    WHEN("the grantor resigns")
    {
        trial.daemons[0]->resign();
        trial.run(milliseconds{300});
        THEN("another daemon leads within 300 ms")
        {
            REQUIRE(trial.leader().has_value());
            CHECK(*trial.leader() != 0);
        }
    }
    WHEN("the grantor steps down")
    {
        trial.firstClaimDelay = milliseconds{500};
        trial.daemons[0]->stepDown();
        CHECK(trial.daemons[0]->authorityEnd() == Instant{});
        trial.run(milliseconds{300});
        THEN("another daemon leads within 300 ms, and it may lead again after that one")
        {
            REQUIRE(trial.leader().has_value());
            const auto successor = *trial.leader();
            CHECK(successor != 0);
            CHECK(trial.doubleAuthorityCount == 0);
            for (std::size_t index = 1; index < trial.daemons.size(); ++index) {
                trial.daemons[index]->resign();
            }
            trial.run(seconds{1});
            CHECK(trial.leader() == std::size_t{0});
            CHECK(trial.doubleAuthorityCount == 0);
        }
    }
    WHEN("the store doesn't answer and pauses its leases")
    {
        trial.store.mode = FakeStore::Mode::Silent;
        trial.store.areLeasesPaused = true;
        trial.run(seconds{6});
        THEN("no daemon has authority, and the same daemon regains it with the same term")
        {
            CHECK_FALSE(trial.leader().has_value());
            trial.store.mode = FakeStore::Mode::Normal;
            trial.run(seconds{1});
            trial.store.areLeasesPaused = false;
            trial.run(seconds{1});
            CHECK(trial.leader() == std::size_t{0});
            CHECK(trial.daemons[0]->term() == term);
        }
    }
    WHEN("the store doesn't answer and its leases end")
    {
        trial.store.mode = FakeStore::Mode::Silent;
        trial.run(seconds{6});
        trial.store.mode = FakeStore::Mode::Normal;
        trial.run(seconds{2});
        THEN("one daemon leads with a higher term")
        {
            REQUIRE(trial.leader().has_value());
            CHECK(trial.daemons[*trial.leader()]->term() > term);
            CHECK(trial.doubleAuthorityCount == 0);
        }
    }
    WHEN("the store's answers are lost while daemons claim the key")
    {
        trial.isFrozen[0] = true;
        trial.run(milliseconds{1500});
        trial.store.mode = FakeStore::Mode::AnswersLost;
        trial.run(seconds{1});
        trial.store.mode = FakeStore::Mode::Normal;
        trial.run(seconds{4});
        THEN("there is a grantor in the end, and never two have authority")
        {
            CHECK(trial.leader().has_value());
            CHECK(trial.doubleAuthorityCount == 0);
        }
    }
}

// Guards against a grantor that relies on what it knew although another one has led meanwhile.
SCENARIO("GrantorElection: given a store that comes back from a copy, it tells whether its lease "
         "lasted until then",
         "[election][restored]")
{
    Trial trial(1);
    trial.run(seconds{2});
    trial.store.keepCopy();
    const auto outage = GENERATE(milliseconds{300}, milliseconds{2500});
    trial.store.mode = FakeStore::Mode::Silent;
    trial.store.areLeasesPaused = true;
    trial.run(outage);
    trial.store.areLeasesPaused = false;
    trial.store.restoreCopy();
    trial.store.mode = FakeStore::Mode::Normal;
    trial.daemons[0]->onStoreEra(1);
    trial.run(seconds{4});
    CAPTURE(outage);
    REQUIRE(trial.leader() == std::size_t{0});
    CHECK(trial.daemons[0]->hasReclaimed());
    CHECK(trial.daemons[0]->hasLedThroughout() == (outage < ElectionSettings{}.timeToLive));
}

// Guards against a grantor that relies on what it knew although another one has led since the
// restoration.
SCENARIO(
    "GrantorElection: given another grantor elected after the restoration, a daemon that claims "
    "its place again doesn't count as having led throughout",
    "[election][restored]")
{
    Trial trial(1);
    trial.run(seconds{2});
    trial.store.keepCopy();
    trial.store.restoreCopy();
    trial.daemons[0]->onStoreEra(1);
    trial.store.mode = FakeStore::Mode::Silent;
    trial.run(milliseconds{4500});
    trial.daemons[0]->onEraSettled(1);
    trial.store.mode = FakeStore::Mode::Normal;
    trial.run(seconds{2});
    REQUIRE(trial.leader() == std::size_t{0});
    REQUIRE(trial.daemons[0]->hasReclaimed());
    CHECK_FALSE(trial.daemons[0]->hasLedThroughout());
}

// A grantor that had given up its place and led again lost it to an answer about its former lease.
SCENARIO("GrantorElection: given a renewal that is answered after the daemon has stepped down and "
         "leads again, it goes on leading",
         "[election]")
{
    FakeStore store;
    std::vector<std::pair<StoreCall, std::function<void(StoreAnswer)>>> kept;
    auto keepsRenewals = false;
    auto sender = store.sender();
    GrantorElection election(
        "grantor", "daemon", ElectionSettings{},
        [&](StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done) {
            if (keepsRenewals && std::holds_alternative<StoreLeaseRenew>(call)) {
                kept.emplace_back(std::move(call), std::move(done));
                return;
            }
            sender(std::move(call), timeout, std::move(done));
        },
        [&store] { return store.now(); });
    const auto run = [&](Duration time) {
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{10}) {
            const auto *item = store.find("grantor");
            election.onElectedGrantor(
                item == nullptr ? std::nullopt
                                : std::optional(ElectedGrantor{item->value, item->created}),
                milliseconds{100});
            election.advance();
            store.advance(milliseconds{10});
        }
    };
    run(seconds{2});
    REQUIRE(election.state() == State::Leading);
    keepsRenewals = true;
    run(seconds{1});
    REQUIRE(kept.size() == 1);
    keepsRenewals = false;
    election.stepDown();
    run(seconds{1});
    REQUIRE(election.state() == State::Leading);
    // The lease has ended meanwhile, so the store knows none.
    sender(kept[0].first, milliseconds{500}, kept[0].second);
    run(milliseconds{30});
    CHECK(election.state() == State::Leading);
    run(seconds{3});
    CHECK(election.state() == State::Leading);
}
