#pragma once

#include "http/clocktimer.h"
#include "http1/messagereader.h"
#include "record.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace gooseberrywall::review {

struct InstanceSettings
{
    std::string id;
    std::string service;
    std::string zone;
    Address listen;
    int slots = 3;
    int queueLength = 12;
    Duration workTime = std::chrono::milliseconds{60};
    /// Size of the answer to a request.
    std::function<std::size_t(const std::string &target)> answerBytes;
};

/// Stand-in for an instance of the platform. Runs as many requests at once as it has slots, queues
/// a few more, and rejects the rest with 503 and Not-Executed. Serves one request at a time on a
/// connection, and drops a request whose connection closes.
class Instance
{
public:
    /// @param record receives each run and each answer
    Instance(event_base *base, InstanceSettings settings, Record &record);

    /// Which answers are followed by additional bytes.
    enum class Followed : std::uint8_t { All, Rejections };

    /// From now on this share of the answers, at most, is followed by additional bytes: a second
    /// answer, which comes late, where the next answer on the connection is expected. One letter
    /// of the name of its Request-Id header is wrong.
    auto sendSecondAnswers(double share, Followed kind) -> void
    {
        this->secondAnswerShare = share;
        this->followed = kind;
        this->answerCount = 0;
        this->followedCount = 0;
    }
    /// From now on this share of the requests is rejected with 503 and Not-Executed.
    auto shed(double share) -> void { this->shedShare = share; }

    /// @returns the JSON with which the instance registers in the store
    [[nodiscard]] auto entry(int sequence) const -> std::string;
    [[nodiscard]] auto storeKey() const -> std::string { return "servers/" + this->settings.id; }
    [[nodiscard]] auto id() const -> const std::string & { return this->settings.id; }
    [[nodiscard]] auto secondAnswers() const -> int { return this->secondAnswerCount; }
    /// @returns how often a request ran, by its id
    [[nodiscard]] auto runs() const -> const std::map<std::string, int> &
    {
        return this->runCounts;
    }

    /// @returns the body with which an instance answers a request
    [[nodiscard]] static auto body(const std::string &id, const std::string &target,
                                   std::size_t bytes) -> std::string;

private:
    struct Connection
    {
        std::unique_ptr<SocketStream> stream;
        MessageReader reader{MessageReader::Kind::Request, MessageLimits{}};
        bool isBusy = false;
        bool isEnded = false;
        /// Second answer that is sent before the next answer.
        std::string secondAnswer;
    };
    struct Work
    {
        std::shared_ptr<Connection> connection;
        WholeMessage request;
        Instant endsAt{};
        bool isRunning = false;
    };

    auto accept(int descriptor) -> void;
    auto read(const std::shared_ptr<Connection> &connection) -> void;
    auto handle(const std::shared_ptr<Connection> &connection, WholeMessage request) -> void;
    auto startWork() -> void;
    auto endWork() -> void;
    auto answer(const std::shared_ptr<Connection> &connection, const MessageHead &request,
                int status, const std::string &body) -> void;
    [[nodiscard]] auto runningCount() const -> int;

    event_base *base;
    InstanceSettings settings;
    Record &record;
    std::list<std::shared_ptr<Connection>> connections;
    std::list<Work> work;
    std::map<std::string, int> runCounts;
    double secondAnswerShare = 0;
    Followed followed = Followed::All;
    double shedShare = 0;
    std::mt19937_64 random{1};
    int secondAnswerCount = 0;
    /// Since the share was set last.
    int answerCount = 0;
    int followedCount = 0;
    SocketListener listener;
    ClockTimer timer;
};

} // namespace gooseberrywall::review
