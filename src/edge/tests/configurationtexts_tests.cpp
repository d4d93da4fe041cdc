#include "edge/configurationtexts.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

/// A configuration with many routes of different names.
auto textOf(int version, int routes = 3000) -> std::string
{
    auto text = R"({"version":)" + std::to_string(version) + R"(,"routes":[)";
    for (auto number = 0; number < routes; ++number) {
        text += R"({"name":"r)" + std::to_string(number * 7919 % 100003) + R"(","host":"h)"
                + std::to_string(number % 17) + R"(.example","prefix":"/p)"
                + std::to_string(number * 104729 % 1000003)
                + R"(/","route_type":"idempotent","service":"s)"
                + std::to_string((number + version) % 5 == 0 ? 1 : 2) + R"(","timeout_s":1.5},)";
    }
    return text + "]}";
}

auto requestOf(const ConfigurationTexts &texts) -> MessageHead
{
    MessageHead head;
    head.headers = texts.requestHeaders();
    return head;
}

} // namespace

// Guards against links that are full for seconds after a small change of a large configuration.
SCENARIO(
    "ConfigurationTexts: a daemon that has an earlier text gets little more than the difference",
    "[edge][largeconfiguration]")
{
    auto changed = textOf(1);
    changed.replace(changed.find("\"s2\""), 4, "\"s9\"");
    ConfigurationTexts sender(ConfigurationTextsSettings{});
    ConfigurationTexts receiver(ConfigurationTextsSettings{});
    sender.set(textOf(1));
    receiver.set(textOf(1));
    sender.set(changed);
    const auto answer = sender.answer(requestOf(receiver));
    CHECK(answer.body.size() < 500);
    CHECK(receiver.read(answer) == changed);
    THEN("one without a text gets a small part of the text's size")
    {
        const ConfigurationTexts empty(ConfigurationTextsSettings{});
        const auto whole = sender.answer(requestOf(empty));
        CHECK(whole.body.size() < changed.size() / 5);
        CHECK(empty.read(whole) == changed);
    }
    THEN("one with a text that the sender doesn't have gets all of it")
    {
        ConfigurationTexts other(ConfigurationTextsSettings{});
        other.set(textOf(77, 10));
        CHECK(other.read(sender.answer(requestOf(other))) == changed);
    }
    THEN("a receiver that has dropped the text it named reads nothing")
    {
        const ConfigurationTexts empty(ConfigurationTextsSettings{});
        CHECK_FALSE(empty.read(answer));
    }
    THEN("a daemon of an earlier build sends and gets the text as it is")
    {
        CHECK(sender.answer(MessageHead{}).body == changed);
        CHECK(sender.answer(MessageHead{}).head.headers.empty());
        CHECK(receiver.read(WholeMessage{MessageHead{}, changed}) == changed);
    }
}

SCENARIO("ConfigurationTexts: earlier texts take a bounded amount of memory", "[edge]")
{
    ConfigurationTextsSettings settings;
    settings.earlierBytes = textOf(10, 100).size() * 5 / 2;
    ConfigurationTexts sender(settings);
    std::vector<ConfigurationTexts> receivers;
    for (auto version = 10; version < 14; ++version) {
        sender.set(textOf(version, 100));
        receivers.emplace_back(settings).set(textOf(version, 100));
    }
    const auto isDifference = [&](std::size_t index) {
        const auto answer = sender.answer(requestOf(receivers[index]));
        CHECK(receivers[index].read(answer) == textOf(13, 100));
        return answer.head.find("X-Base-Digest") != nullptr;
    };
    CHECK(isDifference(3));
    CHECK(isDifference(2));
    CHECK(isDifference(1));
    CHECK_FALSE(isDifference(0));
}
