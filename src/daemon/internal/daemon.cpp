#include "daemon/daemon.h"

#include "configuration/teamtoken.h"
#include "daemon/coretask.h"

#include <chrono>
#include <functional>
#include <random>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t coreMailboxLimit = 200'000;

auto makeIdentity(const DaemonSettings &settings) -> DaemonIdentity
{
    const auto time = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(time).count();
    return {settings.id, Incarnation{static_cast<std::uint64_t>(micros)}, settings.domain,
            settings.peerListen};
}

auto makeNodeSettings(const DaemonSettings &settings) -> NodeSettings
{
    NodeSettings node;
    node.coordinator.cell = settings.cell;
    if (!settings.operatorToken.empty()) {
        const auto salt = std::to_string(std::random_device{}()) + "bootstrap";
        node.editor.bootstrapTokenHash = hashToken(settings.operatorToken, salt);
    }
    for (const auto &seed : settings.seeds) {
        MemberClaim claim;
        claim.id = seed.id;
        claim.address = seed.address;
        node.seeds.push_back(std::move(claim));
    }
    return node;
}

auto makeCallerSettings(const DaemonSettings &settings) -> HttpListenerSettings
{
    HttpListenerSettings listener;
    listener.listen = settings.callerListen;
    listener.bodyLimitBytes = settings.bodyLimitBytes;
    listener.connectionLimit = settings.connectionLimit;
    listener.receiveTimeoutMs = static_cast<int>(
        std::chrono::duration_cast<std::chrono::milliseconds>(settings.receiveTimeout).count());
    return listener;
}

auto makeAdminSettings(const DaemonSettings &settings) -> HttpListenerSettings
{
    constexpr std::size_t bodyLimitBytes = 2 * 1024 * 1024;
    constexpr int connectionLimit = 256;
    HttpListenerSettings listener;
    listener.listen = settings.adminListen;
    listener.bodyLimitBytes = bodyLimitBytes;
    listener.connectionLimit = connectionLimit;
    listener.tls = {settings.adminCertificateFile, settings.adminKeyFile};
    return listener;
}

auto makePlatformSettings(const DaemonSettings &settings) -> PlatformClientSettings
{
    PlatformClientSettings client;
    client.address = settings.platform;
    return client;
}

auto makeUpstreamSettings(const DaemonSettings &settings) -> UpstreamClientSettings
{
    UpstreamClientSettings client;
    client.runConnections = static_cast<std::size_t>(settings.upstreamConnections);
    return client;
}

} // namespace

/// All tasks of a daemon; each depends only on those declared before it.
struct Daemon::Tasks
{
    explicit Tasks(const DaemonSettings &settings)
        : settings(settings)
        , identity(makeIdentity(settings))
        , logger(settings.logLevel, settings.logLinesPerSecond)
        , mailbox(coreMailboxLimit)
        , node(this->identity, makeNodeSettings(settings), std::random_device{}())
        , pages(this->node, settings.operatorToken)
        , configurationPages(this->node)
        , outbound(makePlatformSettings(settings), makeUpstreamSettings(settings), this->toCore())
        , callers(makeCallerSettings(settings), this->toCore())
        , admin(makeAdminSettings(settings), this->toCore())
        , peers(this->identity, {settings.peerListen, settings.peerSecret},
                [this](const DaemonId &from, PeerMessage message) {
                    this->mailbox.post(NodeInput{PeerMessageReceived{from, std::move(message)}});
                })
    {
    }

    auto toCore() -> std::function<bool(CoreMessage)>
    {
        return [this](CoreMessage message) { return this->mailbox.post(std::move(message)); };
    }

    DaemonSettings settings;
    DaemonIdentity identity;
    Logger logger;
    Mailbox<CoreMessage> mailbox;
    Node node;
    AdminPages pages;
    AdminHandler<Node> configurationPages;
    OutboundTask outbound;
    CallerTask callers;
    AdminTask admin;
    PeerLink peers;
};

Daemon::Daemon(const DaemonSettings &settings)
    : tasks(std::make_unique<Tasks>(settings))
{
}

Daemon::~Daemon() = default;

auto Daemon::start() -> void
{
    auto &all = *this->tasks;
    all.peers.start();
    all.outbound.start();
    all.admin.start();
    all.callers.start();
    all.logger.write(LogLevel::Info, LogLine("daemon_started")
                                         .with("daemon", all.identity.id.value)
                                         .with("domain", all.identity.domain.value)
                                         .with("callers", all.settings.callerListen.value)
                                         .text());
}

auto Daemon::run() -> void
{
    auto &all = *this->tasks;
    CoreTask core(all.node, all.pages, all.configurationPages, all.mailbox,
                  {all.callers, all.admin, all.outbound, all.peers, all.logger},
                  all.settings.shutdownTimeout);
    core.run();
    all.callers.stop();
    all.peers.stop();
    all.outbound.stop();
    all.admin.stop();
    all.logger.write(LogLevel::Info,
                     LogLine("daemon_stopped").with("daemon", all.identity.id.value).text());
}

auto Daemon::requestShutdown() -> void
{
    this->tasks->mailbox.post(ShutdownRequested{});
}

} // namespace gooseberrywall
