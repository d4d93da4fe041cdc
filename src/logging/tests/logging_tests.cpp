#include "logging/logger.h"
#include "logging/requestlog.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

using namespace gooseberrywall;

SCENARIO("Logger: a slow reader never blocks the writer", "[logging]")
{
    GIVEN("a pipe that nobody reads")
    {
        int ends[2] = {};
        REQUIRE(pipe(ends) == 0);
        Logger logger("info", 1'000'000, ends[1]);
        WHEN("more lines are logged than the pipe holds")
        {
            const std::string line(1000, 'x');
            for (auto count = 0; count < 1000; ++count) {
                logger.write(LogLevel::Info, line);
            }
            THEN("the surplus lines are dropped and counted, and the writer isn't blocked")
            {
                CHECK(logger.droppedLines() > 0);
                CHECK(logger.droppedLines() < 1000);
            }
        }
        close(ends[0]);
        close(ends[1]);
    }
    GIVEN("a buffering logger and a pipe with a reader")
    {
        int ends[2] = {};
        REQUIRE(pipe(ends) == 0);
        REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
        const auto read = [&ends] {
            std::string text(65536, ' ');
            const auto size = ::read(ends[0], text.data(), text.size());
            text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
            return text;
        };
        {
            Logger logger("info", 1'000'000, ends[1]);
            logger.setBuffering(true);
            logger.write(LogLevel::Info, "event=first");
            THEN("lines wait for the flush")
            {
                CHECK(read().empty());
                logger.write(LogLevel::Info, "event=second");
                logger.flush();
                const auto text = read();
                CHECK(text.find("event=first\n") < text.find("event=second\n"));
            }
            THEN("a warning is written at once, after the buffered lines")
            {
                logger.write(LogLevel::Warning, "event=trouble");
                const auto text = read();
                CHECK(text.find("event=first\n") < text.find("event=trouble\n"));
            }
            THEN("lines beyond what a pipe takes at once are written before the flush, never in "
                 "parts")
            {
                for (auto count = 0; count < 100; ++count) {
                    logger.write(LogLevel::Info, std::string(100, 'x'));
                }
                const auto text = read();
                CHECK(text.size() > 4096);
                CHECK(text.back() == '\n');
            }
        }
        THEN("the destructor writes the buffered lines")
        {
            CHECK(read().find("event=first\n") != std::string::npos);
        }
        close(ends[0]);
        close(ends[1]);
    }
}

SCENARIO("RequestLog: the sample depends on the request id only", "[logging]")
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
        THEN("unusual events are logged for every request")
        {
            CHECK(first.shouldLog(RequestId{"any"}, true));
        }
    }
}

// Guards against a flood of lines about requests, as after an outage, that hides which
// configuration and which grantors a daemon knows.
SCENARIO("Logger: given more lines about requests than the rate allows, other lines are written",
         "[logging]")
{
    int ends[2] = {};
    REQUIRE(pipe(ends) == 0);
    REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
    Logger logger("info", 100, ends[1]);
    for (auto count = 0; count < 1000; ++count) {
        logger.writeOfRequest("event=request_refused");
    }
    for (auto count = 0; count < 20; ++count) {
        logger.write(LogLevel::Info, "event=configuration_adopted number=" + std::to_string(count));
    }
    std::string text(65536, ' ');
    const auto size = ::read(ends[0], text.data(), text.size());
    REQUIRE(size > 0);
    text.resize(static_cast<std::size_t>(size));
    for (auto count = 0; count < 20; ++count) {
        CHECK(text.find("number=" + std::to_string(count) + "\n") != std::string::npos);
    }
    THEN("the lines about requests are still bounded, and the dropped ones are counted")
    {
        CHECK(logger.droppedLines() > 0);
    }
    close(ends[0]);
    close(ends[1]);
}
