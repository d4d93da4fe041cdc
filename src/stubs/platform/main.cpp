#include "stubs/platform/platformserver.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <event2/event.h>
#include <iostream>
#include <memory>
#include <string>

namespace {

using namespace gooseberrywall;

auto onSignal(evutil_socket_t, short, void *base) -> void
{
    event_base_loopbreak(static_cast<event_base *>(base));
}

auto serve(const Endpoint &endpoint) -> int
{
    const std::unique_ptr<event_base, decltype(&event_base_free)> base(event_base_new(),
                                                                       &event_base_free);
    PlatformServer server(base.get());
    const auto bound = server.listen(endpoint);
    if (!bound.has_value()) {
        std::cerr << "can't listen on " << toAddress(endpoint).value
                  << ": the address can't be bound; set --listen to a free one\n";
        return 1;
    }
    std::cout << "listening " << toAddress(*bound).value << std::endl;
    auto *const terminate = evsignal_new(base.get(), SIGTERM, onSignal, base.get());
    auto *const interrupt = evsignal_new(base.get(), SIGINT, onSignal, base.get());
    event_add(terminate, nullptr);
    event_add(interrupt, nullptr);
    event_base_dispatch(base.get());
    event_free(terminate);
    event_free(interrupt);
    return 0;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    namespace options = boost::program_options;
    std::signal(SIGPIPE, SIG_IGN);
    options::options_description description("Stand-in for the platform's service");
    description.add_options()("help", "print this help and exit")(
        "listen", options::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "; see --help\n";
        return 2;
    }
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    const auto endpoint = parseEndpoint({values["listen"].as<std::string>()});
    if (!endpoint.has_value()) {
        std::cerr << "--listen is not an address of the form IP:PORT\n";
        return 2;
    }
    return serve(*endpoint);
}
