#include "configuration/tests/configurationcell.h"

#include "configuration/manifestcodec.h"
#include "configuration/teamtoken.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr auto lateWriteDelay = std::chrono::milliseconds{40};
constexpr std::size_t domains = 3;
constexpr std::size_t heartbeatFanOut = 3;
const auto *const tokenSalt = "s4ltf0rtests";

auto ambiguous() -> StoreAnswer
{
    auto answer = StoreAnswer{};
    answer.status = StoreStatus::Ambiguous;
    return answer;
}

auto daemonName(std::size_t number) -> std::string
{
    auto digits = std::to_string(number);
    return "d" + std::string(5 - digits.size(), '0') + digits;
}

} // namespace

ConfigurationCell::ConfigurationCell(std::size_t daemons, std::uint64_t seed, std::size_t cellSize)
    : cellSize(cellSize)
    , random(seed)
    , nodes(daemons)
    , nextBeat(this->now)
{
    for (std::size_t number = 0; number < daemons; ++number) {
        auto &node = this->nodes[number];
        const auto name = daemonName(number);
        node.self = {DaemonId{name}, Incarnation{1},
                     FailureDomain{"domain-" + std::to_string(number % domains)}, Address{name}};
        this->index[node.self.id] = number;
        this->boot(number);
    }
}

auto ConfigurationCell::boot(std::size_t daemon) -> void
{
    auto &node = this->nodes[daemon];
    auto editorSettings = EditorSettings{};
    editorSettings.bootstrapTokenHash = hashToken(bootstrapToken, tokenSalt);
    node.keeper =
        std::make_unique<ConfigurationKeeper>(node.self, KeeperSettings{}, this->random());
    node.editor = std::make_unique<ConfigurationEditor>(node.self, editorSettings, this->random());
    node.outbox.clear();
    node.lastGeneration = 0;
    node.results.clear();
    node.keeper->onMembership(this->now, this->viewFor(daemon));
}

auto ConfigurationCell::viewFor(std::size_t daemon) const -> MembershipView
{
    const auto first = daemon / this->cellSize * this->cellSize;
    const auto last = std::min(first + this->cellSize, this->nodes.size());
    auto view = MembershipView{};
    for (auto number = first; number < last; ++number) {
        const auto name = daemonName(number);
        view.members.push_back({DaemonId{name}, Incarnation{1},
                                FailureDomain{"domain-" + std::to_string(number % domains)},
                                Address{name}, MemberState::Alive});
    }
    return view;
}

auto ConfigurationCell::restart(std::size_t daemon) -> void
{
    auto &node = this->nodes[daemon];
    node.self.incarnation = node.self.incarnation.next();
    this->heldLetters.erase(daemon);
    this->heldAnswers.erase(daemon);
    this->paused.erase(daemon);
    this->boot(daemon);
}

auto ConfigurationCell::keeper(std::size_t daemon) -> ConfigurationKeeper &
{
    return *this->nodes[daemon].keeper;
}

auto ConfigurationCell::allAt(std::uint64_t generation) const -> bool
{
    return std::all_of(this->nodes.begin(), this->nodes.end(), [generation](const Node &node) {
        return node.keeper->isSettled() && node.keeper->generation() >= generation;
    });
}

auto ConfigurationCell::run(Duration span) -> void
{
    const auto end = this->now + span;
    while (this->now < end) {
        this->oneStep();
    }
}

auto ConfigurationCell::runUntil(Duration span, const std::function<bool()> &condition) -> bool
{
    const auto end = this->now + span;
    while (this->now < end && !condition()) {
        this->oneStep();
    }
    return condition();
}

auto ConfigurationCell::start(std::size_t daemon, EditRequest request) -> EditId
{
    auto &node = this->nodes[daemon];
    node.editor->updateCache(node.keeper->generation(), node.keeper->sections());
    const auto id = node.editor->start(this->now, std::move(request), node.outbox);
    this->drain(daemon);
    return id;
}

auto ConfigurationCell::result(std::size_t daemon, EditId id) -> std::optional<EditResult>
{
    const auto &results = this->nodes[daemon].results;
    const auto found = results.find(id);
    return found == results.end() ? std::nullopt : std::optional(found->second);
}

auto ConfigurationCell::edit(std::size_t daemon, EditRequest request) -> EditResult
{
    const auto id = this->start(daemon, std::move(request));
    const auto ended = [&] { return this->result(daemon, id).has_value(); };
    if (!this->runUntil(std::chrono::seconds{30}, ended)) {
        throw std::runtime_error("an edit did not end");
    }
    return *this->result(daemon, id);
}

auto ConfigurationCell::failWrite(int index, WriteFault fault) -> void
{
    this->writeFaults[this->writes + index] = fault;
}

auto ConfigurationCell::oneStep() -> void
{
    this->now += this->step;
    while (!this->lateWrites.empty() && this->lateWrites.begin()->first <= this->now) {
        this->lastCall = this->lastCall.next();
        this->store.receive(this->now, this->lastCall, this->lateWrites.begin()->second);
        this->lateWrites.erase(this->lateWrites.begin());
    }
    this->store.advance(this->now);
    this->deliverStore();
    this->deliverPeers();
    if (this->now >= this->nextBeat) {
        this->nextBeat = this->now + this->heartbeat;
        this->beat();
    }
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        if (this->paused.contains(number)) {
            continue;
        }
        auto &node = this->nodes[number];
        node.keeper->tick(this->now, node.outbox);
        node.editor->tick(this->now, node.outbox);
        this->drain(number);
        if (node.keeper->generation() < node.lastGeneration) {
            ++this->reversalCount;
        }
        node.lastGeneration = node.keeper->generation();
    }
}

auto ConfigurationCell::deliverStore() -> void
{
    for (auto &reply : this->store.takeReplies()) {
        const auto found = this->pending.find(reply.call);
        if (found != this->pending.end()) {
            const auto call = found->second;
            this->pending.erase(found);
            this->answer(call, reply.answer);
        }
    }
    auto late = std::vector<CallId>{};
    for (const auto &[id, call] : this->pending) {
        if (call.deadline <= this->now) {
            late.push_back(id);
        }
    }
    for (const auto id : late) {
        const auto call = this->pending.at(id);
        this->pending.erase(id);
        this->store.forget(id);
        this->answer(call, ambiguous());
    }
    for (auto &[number, answers] : this->heldAnswers) {
        if (!this->paused.contains(number)) {
            for (const auto &[call, held] : std::exchange(answers, {})) {
                this->answer(call, held);
            }
        }
    }
}

auto ConfigurationCell::answer(const PendingCall &pending, const StoreAnswer &answer) -> void
{
    auto &node = this->nodes[pending.node];
    if (node.self.incarnation.value != pending.incarnation) {
        return;
    }
    if (this->paused.contains(pending.node)) {
        this->heldAnswers[pending.node].emplace_back(pending, answer);
        return;
    }
    if (!node.keeper->onStoreAnswer(this->now, pending.call, answer, node.outbox)) {
        node.editor->onStoreAnswer(this->now, pending.call, answer, node.outbox);
    }
    this->drain(pending.node);
}

auto ConfigurationCell::deliverPeers() -> void
{
    auto due = std::vector<Letter>{};
    while (!this->letters.empty() && this->letters.begin()->first <= this->now) {
        due.push_back(std::move(this->letters.begin()->second));
        this->letters.erase(this->letters.begin());
    }
    for (auto &[number, held] : this->heldLetters) {
        if (!this->paused.contains(number)) {
            auto more = std::exchange(held, {});
            due.insert(due.end(), more.begin(), more.end());
        }
    }
    for (auto &letter : due) {
        if (this->paused.contains(letter.to)) {
            this->heldLetters[letter.to].push_back(std::move(letter));
            continue;
        }
        auto &node = this->nodes[letter.to];
        node.keeper->onMessage(this->now, this->nodes[letter.from].self.id, letter.message,
                               node.outbox);
        this->drain(letter.to);
    }
}

auto ConfigurationCell::beat() -> void
{
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        const auto first = number / this->cellSize * this->cellSize;
        const auto members = std::min(this->cellSize, this->nodes.size() - first);
        auto &node = this->nodes[number];
        for (std::size_t count = 0; count < heartbeatFanOut; ++count) {
            node.rotation = (node.rotation + 1) % members;
            const auto other = first + (number - first + node.rotation) % members;
            if (other == number || this->paused.contains(number) || this->paused.contains(other)) {
                continue;
            }
            auto &peer = this->nodes[other];
            peer.keeper->onPeerGeneration(this->now, node.self.id, node.keeper->generation(),
                                          peer.outbox);
            node.keeper->onPeerGeneration(this->now, peer.self.id, peer.keeper->generation(),
                                          node.outbox);
        }
    }
}

auto ConfigurationCell::drain(std::size_t daemon) -> void
{
    auto &node = this->nodes[daemon];
    for (auto &send : std::exchange(node.outbox.peerSends, {})) {
        this->sendPeer(daemon, std::move(send));
    }
    for (auto &send : std::exchange(node.outbox.storeSends, {})) {
        this->sendStore(daemon, std::move(send));
    }
    if (this->keepLogs) {
        this->logLines.insert(this->logLines.end(), node.outbox.logLines.begin(),
                              node.outbox.logLines.end());
    }
    node.outbox.clear();
    for (auto &ended : node.editor->takeResults()) {
        node.results[ended.id] = ended;
    }
}

auto ConfigurationCell::sendPeer(std::size_t from, PeerSend send) -> void
{
    const auto percent = [this] { return static_cast<int>(this->random() % 100); };
    if (percent() < this->peerFaults.lossPercent) {
        return;
    }
    const auto copies = percent() < this->peerFaults.duplicatePercent ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        const auto spread = static_cast<std::uint64_t>(this->peerFaults.reorder.count()) + 1;
        const auto more = Duration{static_cast<std::int64_t>(this->random() % spread)};
        this->letters.emplace(this->now + this->peerDelay + more,
                              Letter{from, this->index.at(send.to), send.message});
    }
}

auto ConfigurationCell::takeFault(const StoreRequest &request) -> WriteFault
{
    if (!std::holds_alternative<StoreCompareAndSwap>(request)) {
        return WriteFault::None;
    }
    const auto found = this->writeFaults.find(this->writes++);
    return found == this->writeFaults.end() ? WriteFault::None : found->second;
}

auto ConfigurationCell::sendStore(std::size_t node, StoreSend send) -> void
{
    const auto call = PendingCall{node, this->nodes[node].self.incarnation.value, send.call,
                                  this->now + send.timeout};
    if (this->cut.contains(node)) {
        this->answer(call, StoreAnswer{});
        return;
    }
    const auto fault = this->takeFault(send.request);
    this->lastCall = this->lastCall.next();
    const auto id = this->lastCall;
    if (fault == WriteFault::LateWrite) {
        this->lateWrites.emplace(this->now + lateWriteDelay, std::move(send.request));
    } else if (fault != WriteFault::LostWrite) {
        this->store.receive(this->now, id, send.request);
    }
    if (fault != WriteFault::None) {
        this->answer(call, ambiguous());
        return;
    }
    this->pending[id] = call;
}

auto teamText(const std::string &name, const std::string &token, const std::string &more)
    -> std::string
{
    return "[team " + name + "]\ntokens = " + hashToken(token, tokenSalt) + "\n" + more;
}

auto setRequest(const std::string &section, const std::string &text, std::uint64_t expected,
                const std::string &token) -> EditRequest
{
    auto request = EditRequest{};
    request.operation = EditOperation::Set;
    request.section = SectionName{section};
    request.token = token;
    request.text = text;
    request.expectedVersion = expected;
    return request;
}

auto readRequest(EditOperation operation, const std::string &section, const std::string &token)
    -> EditRequest
{
    auto request = EditRequest{};
    request.operation = operation;
    request.section = SectionName{section};
    request.token = token;
    return request;
}

auto manifestOf(const ConfigurationCell &cell) -> Manifest
{
    return *decodeManifest(cell.store.peek(manifestKey)->value);
}

auto writeExample(ConfigurationCell &cell) -> void
{
    const auto requests = std::vector<EditRequest>{
        setRequest("team crew", teamText("crew", adminToken, "administrator = yes\n"), 0,
                   bootstrapToken),
        setRequest("team gaskets", teamText("gaskets", gasketsToken), 0),
        setRequest("team playbill", teamText("playbill", playbillToken), 0),
        setRequest("service fitment", "[service fitment]\nowner = gaskets\n", 0, gasketsToken),
        setRequest("service rate-look", "[service rate-look]\nowner = playbill\n", 0,
                   playbillToken),
    };
    for (const auto &request : requests) {
        const auto ended = cell.edit(0, request);
        if (ended.status != EditStatus::Done) {
            throw std::runtime_error(ended.message);
        }
    }
}

} // namespace gooseberrywall
