#pragma once

#include "edge/grantorwatch.h"
#include "storelink/tests/fakestore.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywall {

inline const std::vector<ServiceName> serviceNames{{"fitment"}, {"stockdesk"}, {"loadout"}};

/// The GrantorWatch of one daemon with its collaborators.
struct FleetDaemon
{
    Address address;
    Logger logger{"error", 1};
    RequestLog log{this->logger, 0};
    PermitClient permits;
    GrantorRoles roles;
    GrantorWatch watch;
    bool isAlive = true;

    FleetDaemon(FakeStore &store, int number, double cores, std::uint64_t incarnation = 1)
        : address{"10.0.0." + std::to_string(number) + ":7000"}
        , permits(this->address, incarnation, PermitClientSettings{})
        , roles(
              roleSettings(this->address, number, cores, incarnation), this->sender(store),
              ignoreOrders(), [&store] { return store.now(); }, this->logger, this->log)
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

    static auto roleSettings(const Address &address, int number, double cores,
                             std::uint64_t incarnation) -> GrantorRoleSettings
    {
        GrantorRoleSettings result;
        result.daemon = DaemonId{"d" + std::to_string(number)};
        result.peerAddress = address;
        result.incarnation = incarnation;
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
struct GrantorFleet
{
    FakeStore store;
    std::vector<std::unique_ptr<FleetDaemon>> daemons;
    /// Kept, as answers to their calls may still arrive.
    std::vector<std::unique_ptr<FleetDaemon>> ended;
    /// Receives the grantors' answers to permit requests.
    std::function<void(const PermitMessage &message)> onAnswer;
    std::uint64_t lastIncarnation = 1;
    static constexpr double strongCores = 0.5;

    GrantorFleet(int weak, int strong)
    {
        this->store.pageSize = 500;
        for (auto number = 0; number < weak + strong; ++number) {
            const auto cores = number < strong ? strongCores : 0.07;
            this->daemons.push_back(std::make_unique<FleetDaemon>(this->store, number, cores));
        }
        for (auto &daemon : this->daemons) {
            this->setServices(*daemon);
        }
    }

    static auto setServices(FleetDaemon &daemon) -> void
    {
        std::vector<ServiceSpec> specs(serviceNames.size());
        for (std::size_t index = 0; index < specs.size(); ++index) {
            specs[index].name = serviceNames[index];
        }
        daemon.roles.setServices(specs);
        daemon.watch.setServices(specs);
    }

    /// Starts the daemon on the strong VM with this number again.
    auto restart(std::size_t number) -> void
    {
        this->ended.push_back(std::move(this->daemons.at(number)));
        this->daemons.at(number) = std::make_unique<FleetDaemon>(
            this->store, static_cast<int>(number), strongCores, ++this->lastIncarnation);
        setServices(*this->daemons.at(number));
    }

    auto run(Duration duration) -> void
    {
        for (auto passed = Duration{0}; passed < duration;
             passed += std::chrono::milliseconds{10}) {
            for (auto &daemon : this->daemons) {
                if (daemon->isAlive) {
                    daemon->watch.advance();
                    daemon->roles.advance();
                }
            }
            this->deliver();
            this->store.advance(std::chrono::milliseconds{10});
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
                    if (!receiver->isAlive || receiver->address != datagram.peer) {
                        continue;
                    }
                    if (message != nullptr) {
                        receiver->watch.onAnnouncement(sender->address, *message);
                    } else if (std::holds_alternative<SuspectNotice>(datagram.message)) {
                        receiver->roles.deliver(sender->address, datagram.message);
                    } else if (this->onAnswer) {
                        this->onAnswer(datagram.message);
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

} // namespace gooseberrywall
