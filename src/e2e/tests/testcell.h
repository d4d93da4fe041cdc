#pragma once

#include "daemon/daemon.h"
#include "http/types/httpmessage.h"
#include "loadtool/internal/loadprogram.h"
#include "settings/types/daemonsettings.h"
#include "stubs/platform/platformserver.h"
#include "stubs/upstream/upstreamserver.h"
#include "tasks/eventloop.h"

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace gooseberrywall {

/// Runs the server of a stand-in on its own thread.
template<typename Server>
class ServerThread
{
public:
    template<typename... Arguments>
    explicit ServerThread(Arguments &&...arguments)
        : server(this->loop.base(), std::forward<Arguments>(arguments)...)
        , endpoint(this->server.listen({"127.0.0.1", 0}).value())
        , thread([this] { this->loop.run(); })
    {
    }
    ~ServerThread()
    {
        this->loop.stop();
        this->thread.join();
    }
    ServerThread(const ServerThread &) = delete;
    auto operator=(const ServerThread &) -> ServerThread & = delete;

    [[nodiscard]] auto address() const -> Address { return toAddress(this->endpoint); }

private:
    EventLoop loop;
    Server server;
    Endpoint endpoint;
    std::thread thread;
};

/// Runs the core of a daemon on its own thread.
class DaemonThread
{
public:
    explicit DaemonThread(const DaemonSettings &settings);
    ~DaemonThread();
    DaemonThread(const DaemonThread &) = delete;
    auto operator=(const DaemonThread &) -> DaemonThread & = delete;

    /// Shuts the daemon down gracefully and waits until its thread has ended.
    auto shutDown() -> void;

private:
    Daemon daemon;
    std::thread thread;
};

/// A cell on loopback: the platform's stand-in, upstreams of one service, and daemons, each in its
/// own failure domain. When the constructor returns, the first sections are written and all shards
/// have owners.
class TestCell
{
public:
    TestCell(int daemonCount, int upstreamCount);

    auto addUpstream() -> void;
    /// Shuts a daemon down gracefully.
    auto shutDownDaemon(std::size_t index) -> void;
    /// Closes an upstream's sockets at once and drops its state, like a crash.
    auto crashUpstream(std::size_t index) -> void;

    /// Post JSON to a control path of a stand-in.
    /// @throws std::runtime_error if the call isn't answered with 200
    auto controlUpstream(std::size_t index, const std::string &path, const std::string &json)
        -> void;
    auto controlPlatform(const std::string &path, const std::string &json) -> void;

    /// Calls a daemon's administration interface with the operator's token.
    [[nodiscard]] auto admin(std::size_t daemon, HttpMethod method, const std::string &target,
                             const std::string &body = {}) const -> HttpAnswer;

    /// Waits, up to ten seconds, until all shards have owners and no transfer is in progress.
    /// @param avoided id of an upstream that must own no shard; empty for none
    /// @returns whether that state was reached
    [[nodiscard]] auto waitUntilOwned(const std::string &avoided = {}) const -> bool;

    /// Waits, up to ten seconds, until every daemon has the configuration and the table.
    /// @returns whether that state was reached
    [[nodiscard]] auto waitUntilReady() const -> bool;

    /// Sends load through all daemons and checks it against the run logs of the upstreams.
    [[nodiscard]] auto load(LoadSettings settings) const -> LoadRunReport;

    [[nodiscard]] auto daemonSettings(std::size_t index) const -> const DaemonSettings &
    {
        return this->settings[index];
    }

private:
    auto makeSettings(int daemonCount) -> void;
    auto writeSection(const std::string &heading, const std::string &text) -> void;

    ServerThread<PlatformServer> platform;
    std::vector<DaemonSettings> settings;
    std::vector<std::unique_ptr<ServerThread<UpstreamServer>>> upstreams;
    std::vector<Address> upstreamAddresses;
    std::vector<std::unique_ptr<DaemonThread>> daemons;
};

} // namespace gooseberrywall
