#include "crowd/crowdcell.h"

#include "testing/freeaddress.h"

#include <algorithm>
#include <array>
#include <event2/event.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

constexpr Duration tickInterval = milliseconds{20};
constexpr Duration retryInterval = milliseconds{200};
/// A caller of ask() whose connection neither ends nor gets an answer is given up after this time.
constexpr Duration answerTimeout = std::chrono::seconds{15};
constexpr int upstreamCount = 2;

/// @returns whether the program accepts a settings file
auto isAccepted(std::string program, std::string file) -> bool
{
    std::string option = "--config";
    std::string check = "--check";
    std::array<char *, 5> arguments{program.data(), option.data(), file.data(), check.data(),
                                    nullptr};
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    for (const auto stream : {STDOUT_FILENO, STDERR_FILENO}) {
        posix_spawn_file_actions_addopen(&actions, stream, "/dev/null", O_WRONLY, 0);
    }
    pid_t process = 0;
    const auto error =
        posix_spawn(&process, program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    auto status = 0;
    return error == 0 && waitpid(process, &status, 0) == process && WIFEXITED(status)
           && WEXITSTATUS(status) == 0;
}

} // namespace

CrowdCell::CrowdCell(CrowdCellSettings settings)
    : settings(std::move(settings))
    , storeAddress(freeAddress())
    , addresses(freeAddresses())
    , forwarderAddresses(freeAddresses())
    , store(this->loop.base(), this->storeAddress, monotonicNow)
    , tick(this->loop.base(), [this] { this->onTick(); })
{
    this->store.start();
    for (auto index = 0; index < upstreamCount; ++index) {
        SizedUpstream::Settings upstream;
        upstream.id = "plain-" + std::to_string(index);
        upstream.service = "plain";
        upstream.listen = freeAddress();
        upstream.largeAnswerPrefix = largeAnswerPrefix;
        upstream.largeAnswerBytes = this->settings.largeAnswerBytes;
        this->upstreams.push_back(
            std::make_unique<SizedUpstream>(this->loop.base(), upstream, monotonicNow));
        this->upstreams.back()->start();
        this->store.put(this->upstreams.back()->storeKey(), this->upstreams.back()->entry());
    }
    this->startEndlessUpstreams();
    this->putConfiguration();
    this->daemon = std::make_unique<DaemonProcess>(this->settings.program,
                                                   this->writeSettings("d0", this->addresses));
    this->daemon->start();
    if (this->settings.hasForwarder) {
        this->forwarder = std::make_unique<DaemonProcess>(
            this->settings.program, this->writeSettings("d1", this->forwarderAddresses));
        this->forwarder->start();
    }
    this->onTick();
}

auto CrowdCell::freeAddresses() -> Addresses
{
    return Addresses{freeAddress(), freeAddress(), freeAddress(), freeAddress()};
}

auto CrowdCell::startEndlessUpstreams() -> void
{
    for (const auto *service : {"endless", "keyed"}) {
        for (auto index = 0;
             index < this->settings.endlessUpstreamsPerAnswer * EndlessUpstream::answerCount;
             ++index) {
            EndlessUpstream::Settings upstream;
            upstream.id = std::string(service) + "-" + std::to_string(index);
            upstream.service = service;
            upstream.listen = freeAddress();
            upstream.answer =
                static_cast<EndlessUpstream::Answer>(index % EndlessUpstream::answerCount);
            this->endlessUpstreams.push_back(
                std::make_unique<EndlessUpstream>(this->loop.base(), upstream));
            this->store.put(this->endlessUpstreams.back()->storeKey(),
                            this->endlessUpstreams.back()->entry());
        }
    }
}

auto CrowdCell::endlessAnswers() const -> int
{
    auto count = 0;
    for (const auto &upstream : this->endlessUpstreams) {
        count += upstream->answeredCalls();
    }
    return count;
}

auto CrowdCell::addCaller(CallerPlan plan) -> const CrowdCaller &
{
    this->callers.push_back(
        std::make_unique<CrowdCaller>(*parseEndpoint(this->addresses.caller), std::move(plan)));
    return *this->callers.back();
}

auto CrowdCell::runUntilAnswered(const CrowdCaller &caller, Duration limit) -> void
{
    this->runUntil([&caller] { return caller.status() != 0 || caller.isClosed(); }, limit);
}

auto CrowdCell::runUntilSettled(Duration limit) -> void
{
    this->runUntil(
        [this] {
            return std::all_of(this->callers.begin(), this->callers.end(),
                               [](const auto &caller) { return caller->isSettled(); });
        },
        limit);
}

auto CrowdCell::runFor(Duration time) -> void
{
    this->runUntil([] { return false; }, time);
}

auto CrowdCell::dismissCallers(std::size_t descriptors, Duration limit) -> std::size_t
{
    this->callers.clear();
    this->runUntil([&] { return this->currentDescriptors < descriptors; }, limit);
    return this->currentDescriptors;
}

auto CrowdCell::ask(const std::function<CrowdRequest(const std::string &id)> &makeRequest,
                    Duration limit) -> std::string
{
    return this->askAt(this->addresses.caller, makeRequest, limit);
}

auto CrowdCell::askAt(const Address &address,
                      const std::function<CrowdRequest(const std::string &id)> &makeRequest,
                      Duration limit) -> std::string
{
    const auto end = monotonicNow() + limit;
    std::string answer;
    auto isRefused = true;
    while (isRefused && monotonicNow() < end) {
        CallerPlan plan;
        plan.request = makeRequest("ask-" + std::to_string(this->nextRequest++));
        plan.connectionLimit = 1;
        CrowdCaller caller(*parseEndpoint(address), std::move(plan));
        this->runUntil(
            [&caller] {
                caller.advance();
                return caller.isClosed();
            },
            std::min<Duration>(answerTimeout, end - monotonicNow()));
        answer = caller.answer();
        isRefused = caller.status() == 503;
        if (isRefused) {
            this->runFor(retryInterval);
        }
    }
    return answer;
}

auto CrowdCell::waitUntilServed(Duration limit) -> bool
{
    return this->waitUntilServedAt(this->addresses.caller, limit);
}

auto CrowdCell::waitUntilForwarderServes(Duration limit) -> bool
{
    return this->waitUntilServedAt(this->forwarderAddresses.caller, limit);
}

auto CrowdCell::stopAcceptingAtUpstreams() -> void
{
    for (auto &upstream : this->upstreams) {
        upstream->stopAccepting();
    }
}

auto CrowdCell::waitUntilServedAt(const Address &address, Duration limit) -> bool
{
    const auto end = monotonicNow() + limit;
    const auto request = [](const std::string &id) {
        return announcedRequest(prefix + id, id, 1, 1, false);
    };
    while (monotonicNow() < end) {
        if (this->askAt(address, request, limit).starts_with("HTTP/1.1 200")) {
            return true;
        }
        this->runFor(retryInterval);
    }
    return false;
}

auto CrowdCell::openCallers() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->callers.begin(), this->callers.end(),
                      [](const auto &each) { return !each->isClosed(); }));
}

auto CrowdCell::onTick() -> void
{
    this->tick.set(monotonicNow() + tickInterval);
    this->store.tick();
    this->updateUsage();
}

auto CrowdCell::runUntil(const std::function<bool()> &condition, Duration limit) -> void
{
    const auto end = monotonicNow() + limit;
    const timeval step{0, 1000};
    while (!condition() && monotonicNow() < end) {
        for (const auto &caller : this->callers) {
            caller->advance();
        }
        event_base_loopexit(this->loop.base(), &step);
        event_base_loop(this->loop.base(), EVLOOP_ONCE);
    }
}

auto CrowdCell::putConfiguration() -> void
{
    const auto route = [](const std::string &service, const std::string &pathPrefix) {
        return nlohmann::json{{"name", service},      {"host", "h.example"},
                              {"prefix", pathPrefix}, {"route_type", "non_idempotent"},
                              {"timeout_s", 10},      {"target_latency_s", 0.5},
                              {"priority", 1},        {"max_attempts", 2},
                              {"service", service}};
    };
    nlohmann::json configuration{{"version", 1},
                                 {"routes", {route("plain", prefix)}},
                                 {"services", {{{"name", "plain"}}}},
                                 {"limits",
                                  {{"max_header_bytes", 16384},
                                   {"max_body_bytes", this->settings.maxBodyBytes},
                                   {"header_timeout_s", 3},
                                   {"idle_timeout_s", 15}}}};
    if (!this->endlessUpstreams.empty()) {
        configuration["routes"].push_back(route("endless", endlessPrefix));
        configuration["routes"].push_back(route("keyed", keyedEndlessPrefix));
        configuration["services"].push_back({{"name", "endless"}});
        configuration["services"].push_back({{"name", "keyed"}, {"sharded", true}});
    }
    this->store.put("op/config", configuration.dump());
}

auto CrowdCell::settingsText(const std::string &id, const Addresses &addresses,
                             bool withMemory) const -> std::string
{
    return "[daemon]\nid = " + id
           + "\nfailure_domain = north-1\ncaller_listen = " + addresses.caller.value
           + "\nready_listen = " + addresses.ready.value + "\npeer_listen = " + addresses.peer.value
           + "\nmetrics_listen = " + addresses.metrics.value
           + (withMemory ? "\nmemory_mb = " + std::to_string(this->settings.memoryMb) : "")
           + "\n[store]\naddress = " + this->storeAddress.value
           + "\n[log]\nlines_per_second = 1000\n";
}

auto CrowdCell::writeSettings(const std::string &id, const Addresses &addresses) -> std::string
{
    std::filesystem::create_directories(this->settings.folder);
    auto file = this->settings.folder + "/" + this->settings.name + "-" + id + ".ini";
    std::ofstream(file) << this->settingsText(id, addresses, true);
    this->isMemorySet = isAccepted(this->settings.program, file);
    if (!this->isMemorySet) {
        std::ofstream(file) << this->settingsText(id, addresses, false);
    }
    return file;
}

auto CrowdCell::updateUsage() -> void
{
    const auto current = readProcessUsage(this->daemon->processId());
    this->usage.peakMemoryKiB = std::max(this->usage.peakMemoryKiB, current.peakMemoryKiB);
    this->usage.descriptors = std::max(this->usage.descriptors, current.descriptors);
    this->currentDescriptors = current.descriptors;
    if (this->forwarder != nullptr) {
        const auto other = readProcessUsage(this->forwarder->processId());
        auto &highest = this->usageOfForwarder;
        highest.peakMemoryKiB = std::max(highest.peakMemoryKiB, other.peakMemoryKiB);
        highest.descriptors = std::max(highest.descriptors, other.descriptors);
    }
}

} // namespace gooseberrywall
