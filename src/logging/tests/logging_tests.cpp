#include "logging/logger.h"
#include "logging/requestlog.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace gooseberrywall;

SCENARIO("Logger never waits for its reader", "[logging]")
{
    GIVEN("a pipe that nobody reads")
    {
        int ends[2] = {};
        REQUIRE(pipe(ends) == 0);
        Logger logger("info", 1'000'000, ends[1]);
        WHEN("more is logged than the pipe holds")
        {
            const std::string line(1000, 'x');
            for (auto count = 0; count < 1000; ++count) {
                logger.write(LogLevel::Info, line);
            }
            THEN("the surplus is dropped and counted, and the writer goes on")
            {
                CHECK(logger.droppedLines() > 0);
                CHECK(logger.droppedLines() < 1000);
            }
        }
        close(ends[0]);
        close(ends[1]);
    }
}

SCENARIO("RequestLog samples by the request's id", "[logging]")
{
    GIVEN("two daemons with the same settings")
    {
        Logger logger("error", 10);
        const RequestLog first(logger, 10);
        const RequestLog second(logger, 10);
        THEN("both choose the same requests, about one in ten")
        {
            auto sampled = 0;
            for (auto number = 0; number < 10'000; ++number) {
                const RequestId id{"request-" + std::to_string(number)};
                CHECK(first.isSampled(id) == second.isSampled(id));
                sampled += first.isSampled(id) ? 1 : 0;
            }
            CHECK(sampled > 800);
            CHECK(sampled < 1200);
        }
        THEN("unusual events are wanted of each request")
        {
            CHECK(first.wants(RequestId{"any"}, true));
        }
    }
}
