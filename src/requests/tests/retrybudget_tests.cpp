#include "requests/operationcosts.h"
#include "requests/retrybudget.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

SCENARIO("RetryBudget limits retries to a share of the successes", "[retrybudget]")
{
    GIVEN("a budget of ten percent that has been used up")
    {
        RetryBudget budget(10);
        while (budget.take()) {
        }
        WHEN("a hundred requests succeed, and a retry is asked for after each")
        {
            int retries = 0;
            for (int number = 0; number < 100; ++number) {
                budget.onSuccess();
                retries += budget.take() ? 1 : 0;
            }
            THEN("about ten retries are allowed")
            {
                CHECK(retries >= 9);
                CHECK(retries <= 10);
            }
        }
        WHEN("a million requests succeed without a retry")
        {
            for (int number = 0; number < 1'000'000; ++number) {
                budget.onSuccess();
            }
            int retries = 0;
            while (budget.take()) {
                ++retries;
            }
            THEN("at most twenty retries are allowed")
            {
                CHECK(retries <= 20);
            }
        }
    }
}

SCENARIO("OperationCosts tracks each operation separately", "[operationcosts]")
{
    GIVEN("costs that track two operations at most")
    {
        OperationCosts costs(2);
        WHEN("a short, a long and a third operation are observed")
        {
            for (int number = 0; number < 50; ++number) {
                costs.observe("lookup", std::chrono::milliseconds{10});
                costs.observe("catalogue", std::chrono::milliseconds{500});
                costs.observe("third", std::chrono::milliseconds{10});
            }
            THEN("the first two have their own cost, and others have the service's average")
            {
                CHECK(costs.expected("lookup") == std::chrono::milliseconds{10});
                CHECK(costs.expected("catalogue") == std::chrono::milliseconds{500});
                CHECK(costs.expected("third") == costs.expected("never seen"));
                CHECK(costs.expected("third") > std::chrono::milliseconds{50});
            }
        }
    }
}
