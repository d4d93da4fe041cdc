#include "edge/grantorwatch.h"

#include "common/hash.h"
#include "storelink/tests/fakestore.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<ServiceName> serviceNames{{"fitment"}, {"stockdesk"}, {"loadout"}};

/// The GrantorWatch of one daemon with its collaborators.
struct Daemon
{
    Address address;
    Logger logger{"error", 1};
    RequestLog log{this->logger, 0};
    PermitClient permits;
    GrantorRoles roles;
    GrantorWatch watch;
    bool isAlive = true;

    Daemon(FakeStore &store, int number, double cores)
        : address{"10.0.0." + std::to_string(number) + ":7000"}
        , permits(this->address, 1, PermitClientSettings{})
        , roles(
              roleSettings(this->address, number, cores), this->sender(store), ignoreOrders(),
              [&store] { return store.now(); }, this->logger, this->log)
        , watch(
              watchSettings(number, cores), this->sender(store), [&store] { return store.now(); },
              this->permits, this->roles, this->logger)
    {
    }

    /// @returns a sender that also reports each answer to the watch, as the daemon does
    auto sender(FakeStore &store) -> SendStoreCall
    {
        return [this, &store, send = store.sender()](StoreCall call, Duration timeout,
                                                     std::function<void(StoreAnswer)> done) {
            send(std::move(call), timeout,
                 [this, sentAt = store.now(), done = std::move(done)](const StoreAnswer &answer) {
                     this->watch.onStoreAnswer(answer, sentAt);
                     done(answer);
                 });
        };
    }

    static auto ignoreOrders() -> SendRangeOrder
    {
        return [](const RangeOrder &, const std::function<void(RangeOrderEnd)> &) {};
    }

    static auto roleSettings(const Address &address, int number, double cores)
        -> GrantorRoleSettings
    {
        GrantorRoleSettings result;
        result.daemon = DaemonId{"d" + std::to_string(number)};
        result.peerAddress = address;
        result.incarnation = 1;
        result.processorCores = cores;
        return result;
    }

    static auto watchSettings(int number, double cores) -> GrantorWatchSettings
    {
        GrantorWatchSettings result;
        result.grantorPrefix = GrantorRoleSettings{}.grantorPrefix;
        result.daemon = DaemonId{"d" + std::to_string(number)};
        result.processorCores = cores;
        return result;
    }
};

/// Daemons that start at the same time, with one store and a network without loss.
struct Fleet
{
    FakeStore store;
    std::vector<std::unique_ptr<Daemon>> daemons;

    Fleet(int weak, int strong)
    {
        this->store.pageSize = 500;
        for (auto number = 0; number < weak + strong; ++number) {
            const auto cores = number < strong ? 0.5 : 0.07;
            this->daemons.push_back(std::make_unique<Daemon>(this->store, number, cores));
        }
        std::vector<ServiceSpec> specs(serviceNames.size());
        for (std::size_t index = 0; index < specs.size(); ++index) {
            specs[index].name = serviceNames[index];
        }
        for (auto &daemon : this->daemons) {
            daemon->roles.setServices(specs);
            daemon->watch.setServices(specs);
        }
    }

    auto run(Duration duration) -> void
    {
        for (auto passed = Duration{0}; passed < duration; passed += milliseconds{10}) {
            for (auto &daemon : this->daemons) {
                if (daemon->isAlive) {
                    daemon->watch.advance();
                    daemon->roles.advance();
                }
            }
            this->deliver();
            this->store.advance(milliseconds{10});
        }
    }

    auto deliver() -> void
    {
        for (auto &sender : this->daemons) {
            for (const auto &datagram : sender->watch.takeDatagrams()) {
                for (auto &receiver : this->daemons) {
                    if (receiver->isAlive && receiver->address == datagram.peer) {
                        receiver->roles.deliver(sender->address, datagram.message);
                    }
                }
            }
            for (const auto &datagram : sender->roles.takeDatagrams()) {
                const auto *message = std::get_if<GrantorAnnouncement>(&datagram.message);
                for (auto &receiver : this->daemons) {
                    if (message != nullptr && receiver->isAlive
                        && receiver->address == datagram.peer) {
                        receiver->watch.onAnnouncement(sender->address, *message);
                    }
                }
            }
        }
    }

    /// @returns the grantors of a service that the live daemons know, "none" where one knows none
    [[nodiscard]] auto knownGrantors(const ServiceName &service) const -> std::set<std::string>
    {
        std::set<std::string> result;
        for (const auto &daemon : this->daemons) {
            const auto *grantor = daemon->permits.grantorOf(service);
            if (daemon->isAlive) {
                result.insert(grantor == nullptr ? "none" : grantor->value);
            }
        }
        return result;
    }

    /// Stops all daemons that grant a service.
    /// @returns how many were stopped
    auto stopGrantors() -> int
    {
        auto count = 0;
        for (auto &daemon : this->daemons) {
            if (daemon->roles.servingCount() > 0) {
                daemon->isAlive = false;
                ++count;
            }
        }
        return count;
    }
};

} // namespace

SCENARIO("GrantorWatch finds grantors with few store calls", "[grantorwatch]")
{
    GIVEN("a hundred daemons that start together, ten of them on strong VMs")
    {
        Fleet fleet(90, 10);
        fleet.run(seconds{3});
        THEN("all know one grantor of each service")
        {
            for (const auto &service : serviceNames) {
                CHECK(fleet.knownGrantors(service).size() == 1);
                CHECK_FALSE(fleet.knownGrantors(service).contains("none"));
            }
        }
        THEN("no daemon grants two services while strong VMs grant none")
        {
            for (const auto &daemon : fleet.daemons) {
                CHECK(daemon->roles.servingCount() <= 1);
            }
        }
        THEN("a minute without changes costs few calls: renewals, and the stand-bys' watches")
        {
            const auto before = fleet.store.callCount();
            fleet.run(seconds{60});
            const auto renewals = 60 * 3 * 1000 / 400;
            CHECK(fleet.store.callCount() - before < renewals + 100);
        }
    }
    GIVEN("a hundred daemons, of which the only one on a strong VM becomes grantor of all services")
    {
        Fleet fleet(99, 1);
        fleet.run(seconds{3});
        THEN("no other daemon opens a lease for a service that has a grantor")
        {
            CHECK(fleet.store.leaseCount() == serviceNames.size());
        }
    }
    GIVEN("a fleet whose grantors are lost")
    {
        for (const auto strong : {0, 4}) {
            Fleet fleet(30, strong);
            fleet.run(seconds{3});
            REQUIRE(fleet.stopGrantors() > 0);
            fleet.run(seconds{4});
            THEN("all know the new ones within 4 s; strong VMs: " + std::to_string(strong))
            {
                for (const auto &service : serviceNames) {
                    const auto known = fleet.knownGrantors(service);
                    REQUIRE(known.size() == 1);
                    const auto found = std::find_if(
                        fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &daemon) {
                            return daemon->address.value == *known.begin();
                        });
                    REQUIRE(found != fleet.daemons.end());
                    CHECK((*found)->isAlive);
                }
            }
        }
    }
    GIVEN("lost grantors and no live stand-by")
    {
        Fleet fleet(30, 0);
        fleet.run(seconds{3});
        fleet.stopGrantors();
        for (auto &daemon : fleet.daemons) {
            const auto id = daemon->roles.settings().daemon.value;
            const auto isStandBy = stableHash(id) % GrantorWatchSettings{}.standByOneIn == 0;
            daemon->isAlive = daemon->isAlive && !isStandBy;
        }
        fleet.run(seconds{5});
        THEN("the others notice the silence and take over within 5 s")
        {
            for (const auto &service : serviceNames) {
                CHECK(fleet.knownGrantors(service).size() == 1);
                CHECK_FALSE(fleet.knownGrantors(service).contains("none"));
            }
        }
    }
}

SCENARIO("GrantorWatch notices that grantors have lost their leases in an outage", "[grantorwatch]")
{
    // Guards against keys without an owner for half a minute: the store is silent until the leases
    // have run out, and the watches stay open on connections that return nothing any more.
    constexpr Duration outageTime = milliseconds{4500};
    constexpr Duration deadWatchTimeout = seconds{31};
    Fleet fleet(0, 3);
    fleet.run(seconds{5});
    fleet.store.loseOpenCalls(deadWatchTimeout);
    fleet.store.mode = FakeStore::Mode::Silent;
    fleet.run(outageTime);
    fleet.store.loseOpenCalls(deadWatchTimeout);
    fleet.store.mode = FakeStore::Mode::Normal;
    fleet.run(seconds{5});
    THEN("each service has a grantor whose claim the store shows")
    {
        for (const auto &service : serviceNames) {
            const auto *claim =
                fleet.store.find(GrantorRoleSettings{}.grantorPrefix + service.value);
            REQUIRE(claim != nullptr);
            CHECK(fleet.knownGrantors(service).size() == 1);
            const auto isLed =
                std::any_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &daemon) {
                    return claim->value.find(daemon->address.value) != std::string::npos;
                });
            CHECK(isLed);
        }
    }
}

// Guards against a vacant place that nobody claims until the stand-bys' watches have timed out.
SCENARIO("GrantorWatch: given lost answers to the stand-bys' watches, lost grantors are replaced "
         "within 5 s",
         "[grantorwatch][lostwatch]")
{
    for (const auto strong : {0, 4}) {
        Fleet fleet(30, strong);
        fleet.run(seconds{3});
        fleet.store.lostWatchPrefix = GrantorRoleSettings{}.grantorPrefix;
        REQUIRE(fleet.stopGrantors() > 0);
        fleet.run(milliseconds{2400});
        fleet.store.lostWatchPrefix.clear();
        fleet.run(milliseconds{2600});
        for (const auto &service : serviceNames) {
            const auto known = fleet.knownGrantors(service);
            CHECK(known.size() == 1);
            CHECK(std::any_of(fleet.daemons.begin(), fleet.daemons.end(), [&](const auto &daemon) {
                return daemon->isAlive && known.contains(daemon->address.value);
            }));
        }
    }
}
