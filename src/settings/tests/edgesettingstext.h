#pragma once

#include <string>

namespace gooseberrywall {

/// @returns valid settings of an edge daemon, with the text `from` replaced by `to`
inline auto validEdgeSettings(const std::string &from = "", const std::string &to = "")
    -> std::string
{
    std::string text = "[daemon]\n"
                       "id = d1\n"
                       "failure_domain = north-1\n"
                       "caller_listen = 127.0.0.1:8001\n"
                       "ready_listen = 127.0.0.1:8002\n"
                       "peer_listen = 127.0.0.1:8003\n"
                       "metrics_listen = 127.0.0.1:8004\n"
                       "processor_share = 0.14\n"
                       "shutdown_timeout_s = 6\n"
                       "[store]\n"
                       "address = 127.0.0.1:7000\n"
                       "[retries]\n"
                       "ratio = 0.25\n"
                       "window_s = 2.5\n";
    if (!from.empty()) {
        text.replace(text.find(from), from.size(), to);
    }
    return text;
}

} // namespace gooseberrywall
