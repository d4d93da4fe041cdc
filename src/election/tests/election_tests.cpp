#include "election/grantorelection.h"
#include "storelink/tests/fakestore.h"

#include <catch2/catch.hpp>
#include <memory>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using State = GrantorElection::State;

namespace {

struct Trial
{
    FakeStore store;
    std::vector<std::unique_ptr<GrantorElection>> daemons;
    std::vector<bool> isFrozen;
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
                this->daemons[index]->onElectedGrantor(grantor,
                                                       milliseconds{50} * static_cast<int>(index));
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

SCENARIO("GrantorElection makes one daemon the grantor", "[election]")
{
    Trial trial(4);
    trial.run(seconds{2});
    REQUIRE(trial.leader() == std::size_t{0});
    const auto term = trial.daemons[0]->term();
    WHEN("it is frozen")
    {
        trial.isFrozen[0] = true;
        trial.run(milliseconds{2500});
        THEN("another one leads under a higher term, and never both")
        {
            REQUIRE(trial.leader().has_value());
            CHECK(*trial.leader() != 0);
            CHECK(trial.daemons[*trial.leader()]->term() > term);
            CHECK(trial.doubleAuthorityCount == 0);
        }
        THEN("it follows when it wakes")
        {
            trial.isFrozen[0] = false;
            trial.run(seconds{1});
            CHECK(trial.daemons[0]->state() == State::Following);
            CHECK(trial.doubleAuthorityCount == 0);
        }
    }
    WHEN("it resigns")
    {
        trial.daemons[0]->resign();
        trial.run(milliseconds{300});
        THEN("another one leads at once")
        {
            REQUIRE(trial.leader().has_value());
            CHECK(*trial.leader() != 0);
        }
    }
    WHEN("the store is away with its leases paused")
    {
        trial.store.mode = FakeStore::Mode::Silent;
        trial.store.areLeasesPaused = true;
        trial.run(seconds{6});
        THEN("nobody has authority, and the same daemon has it again afterwards")
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
    WHEN("the store is away and its leases end")
    {
        trial.store.mode = FakeStore::Mode::Silent;
        trial.run(seconds{6});
        trial.store.mode = FakeStore::Mode::Normal;
        trial.run(seconds{2});
        THEN("one leads under a higher term")
        {
            REQUIRE(trial.leader().has_value());
            CHECK(trial.daemons[*trial.leader()]->term() > term);
            CHECK(trial.doubleAuthorityCount == 0);
        }
    }
    WHEN("answers are lost while the place is claimed")
    {
        trial.isFrozen[0] = true;
        trial.run(milliseconds{1500});
        trial.store.mode = FakeStore::Mode::AnswersLost;
        trial.run(seconds{1});
        trial.store.mode = FakeStore::Mode::Normal;
        trial.run(seconds{4});
        THEN("there is one grantor in the end, and never two")
        {
            CHECK(trial.leader().has_value());
            CHECK(trial.doubleAuthorityCount == 0);
        }
    }
}
