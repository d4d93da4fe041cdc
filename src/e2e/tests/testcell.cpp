#include "testcell.h"

#include "ctl/adminclient.h"
#include "http/percentcoding.h"
#include "testing/freeaddress.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace gooseberrywall {

namespace {

const std::string operatorToken = "e2e-operator-token";

/// Polls a condition every 50 ms for at most ten seconds.
/// @returns whether it became true
template<typename Condition>
auto waitFor(Condition condition) -> bool
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{50});
    }
    return false;
}

auto post(const Address &address, const std::string &path, const std::string &json) -> void
{
    const AdminClient client({address, "", 5000});
    const auto answer = client.call(HttpMethod::Post, path, json);
    if (answer.status != 200) {
        throw std::runtime_error("control call " + path + " failed: " + answer.body);
    }
}

auto upstreamModel(const std::string &id) -> UpstreamModelSettings
{
    UpstreamModelSettings model;
    model.id = {id};
    return model;
}

} // namespace

DaemonThread::DaemonThread(const DaemonSettings &settings)
    : daemon(settings)
{
    this->daemon.start();
    this->thread = std::thread([this] { this->daemon.run(); });
}

DaemonThread::~DaemonThread()
{
    this->shutDown();
}

auto DaemonThread::shutDown() -> void
{
    if (this->thread.joinable()) {
        this->daemon.requestShutdown();
        this->thread.join();
    }
}

TestCell::TestCell(int daemonCount, int upstreamCount)
{
    this->makeSettings(daemonCount);
    for (int number = 0; number < upstreamCount; ++number) {
        this->addUpstream();
    }
    for (const auto &each : this->settings) {
        this->daemons.push_back(std::make_unique<DaemonThread>(each));
    }
    const auto hasCoordinator = waitFor([this] {
        const auto page = this->admin(0, HttpMethod::Get, "/v1/status").body;
        return page.find("\"coordinator\": \"d") != std::string::npos;
    });
    if (!hasCoordinator) {
        throw std::runtime_error("the cell has no coordinator after ten seconds");
    }
    this->writeSection("team gaskets", "contact = e2e\n");
    this->writeSection("service fitment", "owner = gaskets\nshard_count = 24\n");
    if (!this->waitUntilOwned() || !this->waitUntilReady()) {
        throw std::runtime_error("the cell's shards have no owners after ten seconds");
    }
}

auto TestCell::makeSettings(int daemonCount) -> void
{
    for (int number = 1; number <= daemonCount; ++number) {
        DaemonSettings newSettings;
        newSettings.id = {"d" + std::to_string(number)};
        newSettings.domain = {"north-" + std::to_string(number)};
        newSettings.cell = "cell";
        newSettings.callerListen = freeAddress();
        newSettings.adminListen = freeAddress();
        newSettings.peerListen = freeAddress();
        newSettings.peerSecret = "e2e-cell-secret";
        newSettings.platform = this->platform.address();
        newSettings.logLevel = "error";
        newSettings.logLinesPerSecond = 100;
        newSettings.bodyLimitBytes = 64 * 1024;
        newSettings.connectionLimit = 1024;
        newSettings.receiveTimeout = std::chrono::seconds{2};
        newSettings.upstreamConnections = 8;
        newSettings.shutdownTimeout = std::chrono::seconds{20};
        newSettings.operatorToken = operatorToken;
        this->settings.push_back(std::move(newSettings));
    }
    for (auto &each : this->settings) {
        each.seeds = {{this->settings[0].id, this->settings[0].peerListen}};
    }
}

auto TestCell::addUpstream() -> void
{
    const auto number = this->upstreams.size() + 1;
    const auto id = "fitment-" + std::to_string(number);
    const auto incarnation = Incarnation{
        static_cast<std::uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count())};
    this->upstreams.push_back(std::make_unique<ServerThread<UpstreamServer>>(
        upstreamModel(id), incarnation, std::function<void()>([] {})));
    const auto address = this->upstreams.back()->address();
    this->upstreamAddresses.push_back(address);
    const nlohmann::json vm{{"id", id},
                            {"role", "upstream"},
                            {"state", "live"},
                            {"service", "fitment"},
                            {"domain", "north-" + std::to_string((number - 1) % 3 + 1)},
                            {"address", address.value}};
    this->controlPlatform("/control/vms", vm.dump());
}

auto TestCell::shutDownDaemon(std::size_t index) -> void
{
    this->daemons[index]->shutDown();
}

auto TestCell::crashUpstream(std::size_t index) -> void
{
    this->upstreams[index].reset();
}

auto TestCell::controlUpstream(std::size_t index, const std::string &path, const std::string &json)
    -> void
{
    post(this->upstreamAddresses[index], path, json);
}

auto TestCell::controlPlatform(const std::string &path, const std::string &json) -> void
{
    post(this->platform.address(), path, json);
}

auto TestCell::admin(std::size_t daemon, HttpMethod method, const std::string &target,
                     const std::string &body) const -> HttpAnswer
{
    const AdminClient client({this->settings[daemon].adminListen, operatorToken, 5000});
    return client.call(method, target, body);
}

auto TestCell::waitUntilOwned(const std::string &avoided) const -> bool
{
    return waitFor([&] {
        const auto answer = this->admin(0, HttpMethod::Get, "/v1/status");
        const auto page = nlohmann::json::parse(answer.body, nullptr, false);
        if (!page.is_object() || page.value("shards", 0) == 0 || !page["transfers"].empty()
            || page.value("unowned_shards", 1) != 0) {
            return false;
        }
        for (const auto &upstream : page["upstreams"]) {
            if (upstream["id"] == avoided && upstream["shards"] != 0) {
                return false;
            }
        }
        return true;
    });
}

auto TestCell::waitUntilReady() const -> bool
{
    return waitFor([this] {
        for (std::size_t index = 0; index < this->settings.size(); ++index) {
            const auto configured =
                this->admin(index, HttpMethod::Get, "/v1/config/wait?generation=2");
            const auto ready = this->admin(index, HttpMethod::Get, "/readyz");
            const auto owner =
                this->admin(index, HttpMethod::Get, "/v1/owner?service=fitment&key=a");
            if (configured.status != 200 || ready.status != 200 || owner.status != 200) {
                return false;
            }
        }
        return true;
    });
}

auto TestCell::load(LoadSettings settings) const -> LoadRunReport
{
    LoadProgramSettings program;
    settings.service = {"fitment"};
    program.load = std::move(settings);
    for (const auto &each : this->settings) {
        program.targets.push_back(each.callerListen);
    }
    program.upstreams = this->upstreamAddresses;
    program.auditInterval = std::chrono::milliseconds{200};
    program.connections = 16;
    return runLoad(program);
}

auto TestCell::writeSection(const std::string &heading, const std::string &text) -> void
{
    const auto answer = this->admin(0, HttpMethod::Post,
                                    "/v1/config/sections/" + percentEncode(heading) + "?expected=0",
                                    "[" + heading + "]\n" + text);
    if (answer.status != 200) {
        throw std::runtime_error("section " + heading + " was not accepted: " + answer.body);
    }
}

} // namespace gooseberrywall
