// Runs a fuzz target over mutations of its samples with a fixed seed, for ctest.
#include "fuzz/fuzztarget.h"

#include <cstdlib>
#include <iostream>
#include <random>

namespace {

constexpr int inputCount = 4000;
constexpr int maxMutations = 8;
constexpr std::uint64_t seed = 20261204;

auto mutate(std::string input, std::mt19937_64 &random) -> std::string
{
    const auto mutations = 1 + random() % maxMutations;
    for (std::uint64_t count = 0; count < mutations && !input.empty(); ++count) {
        const auto position = random() % input.size();
        switch (random() % 4) {
        case 0:
            input[position] = static_cast<char>(random());
            break;
        case 1:
            input.erase(position, 1 + random() % 8);
            break;
        case 2:
            input.insert(position, input.substr(random() % input.size(), 16));
            break;
        default:
            input[position] = static_cast<char>(input[position] ^ (1U << random() % 8));
        }
    }
    return input;
}

auto run(const std::string &input) -> void
{
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
}

} // namespace

auto gooseberrywall::fuzzCheck(bool condition, const char *message) -> void
{
    if (!condition) {
        std::cerr << "fuzz: " << message << "\n";
        std::abort();
    }
}

auto main() -> int
{
    const auto samples = gooseberrywall::fuzzSamples();
    std::mt19937_64 random(seed);
    run({});
    for (const auto &sample : samples) {
        run(sample);
    }
    for (int number = 0; number < inputCount; ++number) {
        run(mutate(samples[random() % samples.size()], random));
    }
    std::cout << "fuzz: seed=" << seed << " samples=" << samples.size() << " mutated=" << inputCount
              << "\n";
    return 0;
}
