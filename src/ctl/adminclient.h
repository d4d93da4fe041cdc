#pragma once

#include "common/types/ids.h"
#include "http/types/httpmessage.h"

#include <optional>
#include <string>

namespace gooseberrywall {

/// Which daemon a command calls, and with which token.
struct AdminClientSettings
{
    Address address;
    /// Sent as bearer token; empty: none is sent.
    std::string token;
    int timeoutMs = 5000;
};

/// Sends one request to a daemon's administration interface and waits for the reply.
class AdminClient
{
public:
    explicit AdminClient(AdminClientSettings settings);

    /// @param target path and query, percent-encoded
    /// @returns the answer; its outcome says whether the daemon was reached
    [[nodiscard]] auto call(HttpMethod method, const std::string &target,
                            const std::string &body = {}) const -> HttpAnswer;

private:
    AdminClientSettings settings;
};

} // namespace gooseberrywall
