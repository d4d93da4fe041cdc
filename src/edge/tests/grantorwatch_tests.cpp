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

/// One daemon's search for grantors.
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
              roleSettings(this->address, number, cores), store.sender(), ignoreOrders(),
              [&store] { return store.now(); }, this->logger, this->log)
        , watch(
              watchSettings(number, cores), store.sender(), [&store] { return store.now(); },
              this->permits, this->roles, this->logger)
    {
        store.put("gw/daemon/d" + std::to_string(number), this->address.value);
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

/// Daemons that start at one moment, with one store and a network without losses.
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

    /// @returns the grantors of a service that the living daemons know
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

    /// @returns how many daemons lead
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

SCENARIO("GrantorWatch makes a fleet's search for grantors cheap", "[grantorwatch]")
{
    GIVEN("a hundred daemons that start together, ten of them strong")
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
        THEN("a calm minute costs the store little: renewals, and the stand-bys' watches")
        {
            const auto before = fleet.store.callCount();
            fleet.run(seconds{60});
            const auto renewals = 60 * 3 * 1000 / 400;
            CHECK(fleet.store.callCount() - before < renewals + 100);
        }
    }
    GIVEN("a hundred weak daemons and a strong one, which takes all places one after the other")
    {
        Fleet fleet(99, 1);
        fleet.run(seconds{3});
        THEN("no other daemon opens a lease for a place that is taken")
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
            THEN("all know the new ones within 4 s, of strong VMs: " + std::to_string(strong))
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
    GIVEN("no stand-by alive beside the lost grantors")
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
