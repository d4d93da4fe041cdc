#include "ctl/adminclient.h"

#include "http/httppool.h"
#include "tasks/eventloop.h"

#include <utility>

namespace gooseberrywall {

AdminClient::AdminClient(AdminClientSettings settings)
    : settings(std::move(settings))
{
}

auto AdminClient::call(HttpMethod method, const std::string &target, const std::string &body) const
    -> HttpAnswer
{
    EventLoop loop;
    HttpPool pool(loop.base(), {});
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    if (!this->settings.token.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + this->settings.token});
    }
    HttpAnswer result;
    pool.send(this->settings.address, std::move(request),
              std::chrono::milliseconds{this->settings.timeoutMs}, [&](HttpAnswer answer) {
                  result = std::move(answer);
                  loop.stop();
              });
    loop.run();
    return result;
}

} // namespace gooseberrywall
