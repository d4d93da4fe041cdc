#include "configuration/tests/configurationcell.h"

#include "configuration/manifestcodec.h"
#include "configuration/teamtoken.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr auto lateWriteDelay = std::chrono::milliseconds{40};
constexpr std::size_t failureDomainCount = 3;
constexpr std::size_t heartbeatFanOut = 3;
const auto *const tokenSalt = "s4ltf0rtests";

auto ambiguousAnswer() -> StoreAnswer
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
    , nextHeartbeat(this->now)
{
    for (std::size_t number = 0; number < daemons; ++number) {
        auto &node = this->nodes[number];
        const auto name = daemonName(number);
        node.self = {DaemonId{name}, Incarnation{1},
                     FailureDomain{"domain-" + std::to_string(number % failureDomainCount)},
                     Address{name}};
        this->index[node.self.id] = number;
        this->startDaemon(number);
    }
}

auto ConfigurationCell::startDaemon(std::size_t daemon) -> void
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
    node.keeper->onMembership(this->now, this->membershipViewOf(daemon));
}

auto ConfigurationCell::membershipViewOf(std::size_t daemon) const -> MembershipView
{
    const auto first = daemon / this->cellSize * this->cellSize;
    const auto last = std::min(first + this->cellSize, this->nodes.size());
    auto view = MembershipView{};
    for (auto number = first; number < last; ++number) {
        const auto name = daemonName(number);
        view.members.push_back(
            {DaemonId{name}, Incarnation{1},
             FailureDomain{"domain-" + std::to_string(number % failureDomainCount)}, Address{name},
             MemberState::Alive});
    }
    return view;
}

auto ConfigurationCell::restart(std::size_t daemon) -> void
{
    auto &node = this->nodes[daemon];
    node.self.incarnation = node.self.incarnation.next();
    this->heldDeliveries.erase(daemon);
    this->heldAnswers.erase(daemon);
    this->paused.erase(daemon);
    this->startDaemon(daemon);
}

auto ConfigurationCell::keeper(std::size_t daemon) -> ConfigurationKeeper &
{
    return *this->nodes[daemon].keeper;
}

auto ConfigurationCell::allHaveReached(std::uint64_t generation) const -> bool
{
    return std::all_of(this->nodes.begin(), this->nodes.end(), [generation](const Node &node) {
        return node.keeper->isInitialized() && node.keeper->generation() >= generation;
    });
}

auto ConfigurationCell::run(Duration duration) -> void
{
    const auto end = this->now + duration;
    while (this->now < end) {
        this->advanceStep();
    }
}

auto ConfigurationCell::runUntil(Duration duration, const std::function<bool()> &condition) -> bool
{
    const auto end = this->now + duration;
    while (this->now < end && !condition()) {
        this->advanceStep();
    }
    return condition();
}

auto ConfigurationCell::start(std::size_t daemon, EditRequest request) -> EditId
{
    auto &node = this->nodes[daemon];
    node.editor->updateCache(node.keeper->generation(), node.keeper->sections());
    const auto id = node.editor->start(this->now, std::move(request), node.outbox);
    this->processOutbox(daemon);
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
    const auto isFinished = [&] { return this->result(daemon, id).has_value(); };
    if (!this->runUntil(std::chrono::seconds{30}, isFinished)) {
        throw std::runtime_error("an edit did not end");
    }
    return *this->result(daemon, id);
}

auto ConfigurationCell::failWrite(int index, WriteFault fault) -> void
{
    this->writeFaults[this->writeCount + index] = fault;
}

auto ConfigurationCell::advanceStep() -> void
{
    this->now += this->stepDuration;
    while (!this->lateWrites.empty() && this->lateWrites.begin()->first <= this->now) {
        this->lastCall = this->lastCall.next();
        this->store.receive(this->now, this->lastCall, this->lateWrites.begin()->second);
        this->lateWrites.erase(this->lateWrites.begin());
    }
    this->store.advance(this->now);
    this->deliverStoreAnswers();
    this->deliverPeerMessages();
    if (this->now >= this->nextHeartbeat) {
        this->nextHeartbeat = this->now + this->heartbeatInterval;
        this->exchangeHeartbeats();
    }
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        if (this->paused.contains(number)) {
            continue;
        }
        auto &node = this->nodes[number];
        node.keeper->tick(this->now, node.outbox);
        node.editor->tick(this->now, node.outbox);
        this->processOutbox(number);
        if (node.keeper->generation() < node.lastGeneration) {
            ++this->generationDecreaseCount;
        }
        node.lastGeneration = node.keeper->generation();
    }
}

auto ConfigurationCell::deliverStoreAnswers() -> void
{
    for (auto &reply : this->store.takeReplies()) {
        const auto found = this->pendingCalls.find(reply.call);
        if (found != this->pendingCalls.end()) {
            const auto call = found->second;
            this->pendingCalls.erase(found);
            this->deliverAnswer(call, reply.answer);
        }
    }
    auto expired = std::vector<CallId>{};
    for (const auto &[id, call] : this->pendingCalls) {
        if (call.deadline <= this->now) {
            expired.push_back(id);
        }
    }
    for (const auto id : expired) {
        const auto call = this->pendingCalls.at(id);
        this->pendingCalls.erase(id);
        this->store.forget(id);
        this->deliverAnswer(call, ambiguousAnswer());
    }
    for (auto &[number, answers] : this->heldAnswers) {
        if (!this->paused.contains(number)) {
            for (const auto &[call, held] : std::exchange(answers, {})) {
                this->deliverAnswer(call, held);
            }
        }
    }
}

auto ConfigurationCell::deliverAnswer(const PendingCall &pending, const StoreAnswer &answer) -> void
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
    this->processOutbox(pending.node);
}

auto ConfigurationCell::deliverPeerMessages() -> void
{
    auto due = std::vector<PeerDelivery>{};
    while (!this->pendingDeliveries.empty()
           && this->pendingDeliveries.begin()->first <= this->now) {
        due.push_back(std::move(this->pendingDeliveries.begin()->second));
        this->pendingDeliveries.erase(this->pendingDeliveries.begin());
    }
    for (auto &[number, held] : this->heldDeliveries) {
        if (!this->paused.contains(number)) {
            auto released = std::exchange(held, {});
            due.insert(due.end(), released.begin(), released.end());
        }
    }
    for (auto &delivery : due) {
        if (this->paused.contains(delivery.to)) {
            this->heldDeliveries[delivery.to].push_back(std::move(delivery));
            continue;
        }
        auto &node = this->nodes[delivery.to];
        node.keeper->onMessage(this->now, this->nodes[delivery.from].self.id, delivery.message,
                               node.outbox);
        this->processOutbox(delivery.to);
    }
}

auto ConfigurationCell::exchangeHeartbeats() -> void
{
    for (std::size_t number = 0; number < this->nodes.size(); ++number) {
        const auto first = number / this->cellSize * this->cellSize;
        const auto members = std::min(this->cellSize, this->nodes.size() - first);
        auto &node = this->nodes[number];
        for (std::size_t count = 0; count < heartbeatFanOut; ++count) {
            node.heartbeatOffset = (node.heartbeatOffset + 1) % members;
            const auto other = first + (number - first + node.heartbeatOffset) % members;
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

auto ConfigurationCell::processOutbox(std::size_t daemon) -> void
{
    auto &node = this->nodes[daemon];
    for (auto &send : std::exchange(node.outbox.peerSends, {})) {
        this->sendToPeer(daemon, std::move(send));
    }
    for (auto &send : std::exchange(node.outbox.storeSends, {})) {
        this->sendToStore(daemon, std::move(send));
    }
    if (this->keepLogs) {
        this->logLines.insert(this->logLines.end(), node.outbox.logLines.begin(),
                              node.outbox.logLines.end());
    }
    node.outbox.clear();
    for (auto &result : node.editor->takeResults()) {
        node.results[result.id] = result;
    }
}

auto ConfigurationCell::sendToPeer(std::size_t from, PeerSend send) -> void
{
    const auto percent = [this] { return static_cast<int>(this->random() % 100); };
    if (percent() < this->peerFaults.lossPercent) {
        return;
    }
    const auto copies = percent() < this->peerFaults.duplicatePercent ? 2 : 1;
    for (auto copy = 0; copy < copies; ++copy) {
        const auto reorderRange =
            static_cast<std::uint64_t>(this->peerFaults.maximumExtraDelay.count()) + 1;
        const auto additionalDelay =
            Duration{static_cast<std::int64_t>(this->random() % reorderRange)};
        this->pendingDeliveries.emplace(this->now + this->peerDelay + additionalDelay,
                                        PeerDelivery{from, this->index.at(send.to), send.message});
    }
}

auto ConfigurationCell::takeWriteFault(const StoreRequest &request) -> WriteFault
{
    if (!std::holds_alternative<StoreCompareAndSwap>(request)) {
        return WriteFault::None;
    }
    const auto found = this->writeFaults.find(this->writeCount++);
    return found == this->writeFaults.end() ? WriteFault::None : found->second;
}

auto ConfigurationCell::sendToStore(std::size_t node, StoreSend send) -> void
{
    const auto call = PendingCall{node, this->nodes[node].self.incarnation.value, send.call,
                                  this->now + send.timeout};
    if (this->disconnectedFromStore.contains(node)) {
        this->deliverAnswer(call, StoreAnswer{});
        return;
    }
    const auto fault = this->takeWriteFault(send.request);
    this->lastCall = this->lastCall.next();
    const auto id = this->lastCall;
    if (fault == WriteFault::LateWrite) {
        this->lateWrites.emplace(this->now + lateWriteDelay, std::move(send.request));
    } else if (fault != WriteFault::LostWrite) {
        this->store.receive(this->now, id, send.request);
    }
    if (fault != WriteFault::None) {
        this->deliverAnswer(call, ambiguousAnswer());
        return;
    }
    this->pendingCalls[id] = call;
}

auto teamText(const std::string &name, const std::string &token, const std::string &otherKeys)
    -> std::string
{
    return "[team " + name + "]\ntokens = " + hashToken(token, tokenSalt) + "\n" + otherKeys;
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

auto writeExampleDocument(ConfigurationCell &cell) -> void
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
        const auto result = cell.edit(0, request);
        if (result.status != EditStatus::Done) {
            throw std::runtime_error(result.message);
        }
    }
}

} // namespace gooseberrywall
