#include "stubs/upstream/internal/upstreamprogram.h"

#include "stubs/upstream/registration.h"
#include "stubs/upstream/runlogfile.h"
#include "stubs/upstream/upstreamserver.h"

#include <chrono>
#include <csignal>
#include <event2/event.h>
#include <iostream>
#include <memory>
#include <unistd.h>

namespace gooseberrywall {

namespace {

constexpr Duration drainPollInterval = std::chrono::milliseconds{50};
constexpr Duration drainMargin = std::chrono::seconds{1};
constexpr int crashExitStatus = 70;

/// @returns the microseconds of wall-clock time, so that a later start gets a higher incarnation
auto newIncarnation() -> Incarnation
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    return Incarnation{static_cast<std::uint64_t>(micros)};
}

class UpstreamProgram
{
public:
    UpstreamProgram(event_base *base, const UpstreamProgramSettings &settings)
        : base(base)
        , settings(settings)
        , server(base, settings.model, newIncarnation(), [] { _exit(crashExitStatus); })
        , drainTimer(base, [this] { this->pollDrain(); })
    {
        if (settings.platform.has_value()) {
            this->registration = std::make_unique<Registration>(base, *settings.platform);
        }
    }

    auto listen() -> bool
    {
        const auto endpoint = parseEndpoint(this->settings.listen);
        const auto bound = endpoint.has_value() ? this->server.listen(*endpoint) : std::nullopt;
        if (!bound.has_value()) {
            std::cerr << "can't listen on " << this->settings.listen.value
                      << ": the address is malformed or in use; set --listen to a free IP:PORT\n";
            return false;
        }
        this->address = toAddress(*bound);
        if (!this->openRunLog()) {
            std::cerr << "can't write to " << *this->settings.runLog
                      << ": the file can't be opened; set --run-log to a file in an existing, "
                         "writable directory\n";
            return false;
        }
        std::cout << "listening " << this->address.value << std::endl;
        this->announce(VmState::Live);
        return true;
    }

    auto terminate() -> void
    {
        if (this->drainDeadline.has_value()) {
            event_base_loopbreak(this->base);
            return;
        }
        this->announce(VmState::Leaving);
        const auto now = monotonicNow();
        this->server.model.setDraining(now, true);
        this->drainDeadline = now + this->settings.model.drainGrace + drainMargin;
        this->pollDrain();
    }

private:
    auto openRunLog() -> bool
    {
        if (!this->settings.runLog.has_value()) {
            return true;
        }
        this->runLog = std::make_unique<RunLogFile>(*this->settings.runLog, this->address);
        this->server.model.observeRuns([this](RunNumber number, const RunRecord &record) {
            this->runLog->write(number, record);
        });
        return this->runLog->hasWrittenAll();
    }

    auto announce(VmState state) -> void
    {
        if (this->registration != nullptr) {
            this->registration->put({this->settings.model.id.value, VmRole::Upstream, state,
                                     this->settings.service, this->settings.domain, this->address});
        }
    }

    auto pollDrain() -> void
    {
        const auto now = monotonicNow();
        const auto &model = this->server.model;
        const auto idle = model.busySlots() == 0 && model.heldGrants(now).empty();
        if (!idle && now < *this->drainDeadline) {
            this->drainTimer.set(now + drainPollInterval);
            return;
        }
        if (this->registration == nullptr) {
            event_base_loopbreak(this->base);
            return;
        }
        this->registration->remove(this->settings.model.id.value,
                                   [this] { event_base_loopbreak(this->base); });
    }

    event_base *base;
    UpstreamProgramSettings settings;
    UpstreamServer server;
    ClockTimer drainTimer;
    std::unique_ptr<Registration> registration;
    std::unique_ptr<RunLogFile> runLog;
    Address address;
    std::optional<Instant> drainDeadline;
};

auto onSignal(evutil_socket_t, short, void *program) -> void
{
    static_cast<UpstreamProgram *>(program)->terminate();
}

} // namespace

auto runUpstreamProgram(const UpstreamProgramSettings &settings) -> int
{
    using EventPointer = std::unique_ptr<event, decltype(&event_free)>;
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    UpstreamProgram program(base.get(), settings);
    if (!program.listen()) {
        return 1;
    }
    const EventPointer terminate(evsignal_new(base.get(), SIGTERM, onSignal, &program),
                                 &event_free);
    const EventPointer interrupt(evsignal_new(base.get(), SIGINT, onSignal, &program), &event_free);
    event_add(terminate.get(), nullptr);
    event_add(interrupt.get(), nullptr);
    event_base_dispatch(base.get());
    return 0;
}

} // namespace gooseberrywall
