#pragma once

#include "httplistener/types/servermessages.h"
#include "node/node.h"

#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// The pages of the administration interface that show or control this daemon and its cell;
/// docs/ADMIN-API.md describes them.
class AdminPages
{
public:
    /// @param node must outlive the pages
    /// @param operatorToken authorises all orders; empty: only the tokens of teams are accepted
    AdminPages(Node &node, std::string operatorToken);

    /// @returns the reply; std::nullopt if the path isn't one of these pages
    [[nodiscard]] auto reply(Instant now, const ServerRequest &request)
        -> std::optional<ServerReply>;

private:
    [[nodiscard]] auto page(Instant now, const ServerRequest &request) const
        -> std::optional<ServerReply>;
    [[nodiscard]] auto ownerPage(Instant now, const ServerRequest &request) const -> ServerReply;
    [[nodiscard]] auto explainPage(const ServerRequest &request) const -> ServerReply;
    [[nodiscard]] auto orderReply(Instant now, const ServerRequest &request,
                                  const OperatorOrder &order) -> ServerReply;
    [[nodiscard]] auto mayOrder(const ServerRequest &request, const OperatorOrder &order) const
        -> bool;
    [[nodiscard]] auto isOperatorToken(std::string_view token) const -> bool;
    [[nodiscard]] auto serviceOf(const OperatorOrder &order) const -> ServiceName;

    Node &node;
    std::string operatorToken;
};

/// @returns the token of the request's Authorization header; empty if there is none
[[nodiscard]] auto bearerToken(const ServerRequest &request) -> std::string;

} // namespace gooseberrywall
