#pragma once

#include "ctl/command.h"

#include <string>

namespace gooseberrywall {

/// Starts or ends the drain of an upstream.
class DrainCommand final : public Command
{
public:
    /// @param undrain whether the command ends a drain instead of starting one
    explicit DrainCommand(bool undrain);

    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;

private:
    bool undrain;
};

/// Lists quarantined requests, or lifts the quarantine of one.
class QuarantineCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "quarantine"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

} // namespace gooseberrywall
