#include "http/clocktimer.h"
#include "streams/outboundpool.h"
#include "streams/tests/scriptedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

SCENARIO("OutboundPool: idle timeouts that no peer can mean harm no request", "[streams]")
{
    // Guards against a number that overflows, and keeps or ends connections at random.
    struct Row
    {
        std::string timeout;
        /// Connections that two requests need.
        int connections = 1;
    };
    for (const auto &[timeout, connections] :
         {Row{"99999999999999999999"}, Row{"2147483647"}, Row{"2147483648"}, Row{"x"},
          Row{"-2147483648", 2}, Row{"-1", 2}, Row{"0", 2}}) {
        INFO(timeout);
        const auto answer =
            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" + timeout + "\r\nContent-Length: 1\r\n\r\na";
        TestLoop loop;
        ScriptedPeer peer(loop.base(), {{answer}, {answer}});
        OutboundPool pool(loop.base(), OutboundPoolSettings{}, monotonicNow);
        for (auto number = 0; number < 2; ++number) {
            OutboundRequest request;
            request.address = peer.address;
            request.text = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
            request.timeout = std::chrono::seconds{2};
            auto isDone = false;
            pool.send(std::move(request), [&](const OutboundResult &result) {
                isDone = true;
                CHECK(result.answer.body == "a");
            });
            loop.runUntil([&] { return isDone; });
        }
        CHECK(peer.connections == connections);
    }
}
