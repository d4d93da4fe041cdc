#include "loadtool/runcollector.h"

#include "loadtool/runjson.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall {

namespace {

using nlohmann::json;

constexpr Duration callTimeout = std::chrono::seconds{10};
constexpr int okStatus = 200;

auto poolSettings() -> HttpPoolSettings
{
    constexpr std::size_t answerLimitBytes = std::size_t{64} * 1024 * 1024;
    HttpPoolSettings settings;
    settings.connectionsPerAddress = 1;
    settings.answerLimitBytes = answerLimitBytes;
    return settings;
}

} // namespace

RunCollector::RunCollector(event_base *base, std::vector<Address> upstreams, RunAudit &audit)
    : upstreams(std::move(upstreams))
    , audit(audit)
    , pool(base, poolSettings())
    , timer(base, [this] { this->poll(); })
{
}

auto RunCollector::pollEvery(Duration time) -> void
{
    this->interval = time;
    this->timer.set(monotonicNow() + time);
}

auto RunCollector::poll() -> void
{
    this->collect([this] { this->timer.set(monotonicNow() + this->interval); });
}

auto RunCollector::collect(std::function<void()> done) -> void
{
    // The deleter runs when the last copy is destroyed, that is, when the last fetch has ended.
    const std::shared_ptr<void> all(nullptr, [done = std::move(done)](void *) { done(); });
    for (const auto &upstream : this->upstreams) {
        this->fetch(upstream, this->sources[upstream].completeUpTo, [all] {});
    }
}

auto RunCollector::fetch(const Address &upstream, std::uint64_t after, std::function<void()> done)
    -> void
{
    HttpRequest request{HttpMethod::Get, "/control/runs?after=" + std::to_string(after), {}, ""};
    this->pool.send(upstream, std::move(request), callTimeout,
                    [this, upstream, done = std::move(done)](const HttpAnswer &answer) {
                        const auto last = this->processAnswer(upstream, answer);
                        if (!last.has_value()) {
                            done();
                            return;
                        }
                        this->fetch(upstream, *last, done);
                    });
}

auto RunCollector::processAnswer(const Address &upstream, const HttpAnswer &answer)
    -> std::optional<std::uint64_t>
{
    auto &source = this->sources[upstream];
    source.reachable = answer.status == okStatus;
    if (!source.reachable) {
        return std::nullopt;
    }
    try {
        return this->readPage(upstream, answer.body);
    } catch (const json::exception &) {
        source.reachable = false;
        return std::nullopt;
    }
}

auto RunCollector::readPage(const Address &upstream, const std::string &body)
    -> std::optional<std::uint64_t>
{
    const auto page = json::parse(body);
    const Incarnation incarnation{page.at("incarnation").get<std::uint64_t>()};
    auto &source = this->sources[upstream];
    if (source.incarnation != incarnation) {
        const auto restarted = source.incarnation.value != 0;
        source = {incarnation, 0, true};
        if (restarted) {
            this->restartSeen = true;
            return 0;
        }
    }
    this->audit.addDropped(upstream, incarnation, page.at("dropped").get<std::uint64_t>());
    std::optional<std::uint64_t> last;
    for (const auto &entry : page.at("runs")) {
        const auto run = runFromJson(upstream, entry);
        this->audit.add(run);
        last = run.number;
        if (run.end.has_value() && source.completeUpTo + 1 == run.number) {
            source.completeUpTo = run.number;
        }
    }
    return last;
}

auto RunCollector::unreachableCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[address, source] : this->sources) {
        count += source.reachable ? 0 : 1;
    }
    return count;
}

} // namespace gooseberrywall
