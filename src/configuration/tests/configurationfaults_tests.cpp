#include "configuration/tests/configurationcell.h"

#include "configuration/manifestcodec.h"

#include <catch2/catch.hpp>
#include <set>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemonCount = 5;
constexpr int runCount = 150;
constexpr int stepsPerRun = 60;

/// A started edit, with the text by which its effect is recognised.
struct StartedEdit
{
    std::size_t daemon = 0;
    std::uint64_t incarnation = 0;
    EditId id;
    SectionName section;
    std::string text;
};

/// Applies random edits and faults to one cell, then reads from the store which edits took effect
/// and compares that with their results.
class FaultRun
{
public:
    explicit FaultRun(std::uint64_t seed)
        : cell(daemonCount, seed)
        , random(seed)
    {
        writeExampleDocument(this->cell);
        this->cell.run(1s);
    }

    auto run() -> void
    {
        for (auto step = 0; step < stepsPerRun; ++step) {
            this->applyRandomStep();
            const auto maximumMicros = this->chance(3) ? 11'000'000U : 60'000U;
            this->cell.run(Duration{static_cast<std::int64_t>(this->random() % maximumMicros)});
            this->checkInvariants();
        }
        this->endFaults();
        this->checkOutcomes();
    }

private:
    auto chance(std::uint64_t percent) -> bool { return this->random() % 100 < percent; }

    auto applyRandomStep() -> void
    {
        const auto daemon = static_cast<std::size_t>(this->random() % daemonCount);
        if (this->chance(45)) {
            this->startEdit(daemon);
        } else if (this->chance(30)) {
            const auto fault = 1 + this->random() % 3;
            this->cell.failWrite(static_cast<int>(this->random() % 3),
                                 static_cast<WriteFault>(fault));
        } else if (this->chance(20)) {
            this->cell.pause(daemon);
        } else if (this->chance(30)) {
            this->cell.resume(daemon);
        } else if (this->chance(20)) {
            this->cell.restart(daemon);
            ++this->incarnations[daemon];
        } else if (this->chance(30)) {
            this->setDown(true);
        } else if (this->chance(60)) {
            this->setDown(false);
        } else {
            this->cell.peerFaults = {static_cast<int>(this->random() % 50), 20, Duration{50ms}};
        }
    }

    auto setDown(bool down) -> void
    {
        auto faults = StoreFaults{};
        faults.down = down;
        faults.doubleWatchEvents = 2;
        faults.watchDelay = Duration{static_cast<std::int64_t>(this->random() % 100'000)};
        this->cell.store.setFaults(this->cell.now, faults);
    }

    auto startEdit(std::size_t daemon) -> void
    {
        ++this->editCount;
        const auto mark = "# edit " + std::to_string(this->editCount) + "\n";
        auto section = SectionName{"service fitment"};
        auto text = mark + "[service fitment]\nowner = gaskets\n";
        if (this->chance(50)) {
            section = SectionName{"callers shops"};
            text = mark + "[callers shops]\nteam = playbill\nmembers = a\nservices = fitment\n";
        }
        const auto removal = this->chance(15);
        const auto manifest = this->currentManifest();
        const auto *entry = manifest.find(section);
        const auto version = entry == nullptr ? 0 : entry->version;
        const auto request = setRequest(section.value, removal ? "" : text, version);
        const auto id = this->cell.start(daemon, request);
        if (!removal) {
            this->edits.push_back({daemon, this->incarnations[daemon], id, section, text});
        }
    }

    auto currentManifest() const -> Manifest
    {
        return *decodeManifest(this->cell.store.peek(manifestKey)->value);
    }

    /// The accepted document is valid at any time, and its generation never decreases.
    auto checkInvariants() -> void
    {
        const auto manifest = this->currentManifest();
        CHECK(manifest.generation >= this->lastGeneration);
        this->lastGeneration = manifest.generation;
        auto sections = std::vector<SectionText>{};
        for (const auto &entry : manifest.entries) {
            const auto item = this->cell.store.peek(sectionKey(entry.section, entry.version));
            REQUIRE(item);
            const auto record = decodeSectionRecord(item->value);
            REQUIRE(record);
            CHECK(sectionDigest(record->text) == entry.digest);
            this->accepted.insert(record->text);
            if (!entry.removed) {
                sections.push_back({entry.section, record->text});
            }
        }
        auto parser = DocumentParser();
        CHECK(parser.parse(sections));
        for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
            CHECK(this->cell.keeper(daemon).generation() <= manifest.generation);
        }
        CHECK(this->cell.generationDecreases() == 0);
    }

    auto endFaults() -> void
    {
        this->setDown(false);
        this->cell.peerFaults = {};
        for (std::size_t daemon = 0; daemon < daemonCount; ++daemon) {
            this->cell.resume(daemon);
        }
        this->cell.run(12s);
        this->checkInvariants();
        CHECK(this->cell.allHaveReached(this->lastGeneration));
    }

    /// @returns all texts that were ever accepted, following the links to previous versions
    auto acceptedTexts() -> std::set<std::string>
    {
        auto texts = std::set<std::string>{};
        for (const auto &entry : this->currentManifest().entries) {
            for (auto version = entry.version; version != 0;) {
                const auto item = this->cell.store.peek(sectionKey(entry.section, version));
                REQUIRE(item);
                const auto record = decodeSectionRecord(item->value);
                texts.insert(record->text);
                version = record->previous;
            }
        }
        return texts;
    }

    auto checkOutcomes() -> void
    {
        const auto texts = this->acceptedTexts();
        for (const auto &text : this->accepted) {
            CHECK(texts.contains(text));
        }
        for (const auto &edit : this->edits) {
            const auto result = this->cell.result(edit.daemon, edit.id);
            if (edit.incarnation != this->incarnations[edit.daemon] || !result) {
                // Its daemon has restarted, so there is no result.
                continue;
            }
            INFO("status " << toString(result->status) << " of\n" << edit.text);
            if (result->status == EditStatus::Done) {
                CHECK(texts.contains(edit.text));
            } else if (result->status != EditStatus::OutcomeUnknown) {
                CHECK_FALSE(texts.contains(edit.text));
            }
            ++statusCounts[result->status];
        }
    }

public:
    static std::map<EditStatus, int> statusCounts;

private:
    ConfigurationCell cell;
    std::mt19937_64 random;
    std::map<std::size_t, std::uint64_t> incarnations;
    std::vector<StartedEdit> edits;
    std::set<std::string> accepted;
    std::uint64_t lastGeneration = 0;
    int editCount = 0;
};

std::map<EditStatus, int> FaultRun::statusCounts;

} // namespace

SCENARIO(
    "ConfigurationEditor: given random faults, then accepted changes stay and refused ones never "
    "take effect",
    "[faults]")
{
    GIVEN("edits, lost and late writes, pauses, restarts and outages in random order")
    {
        FaultRun::statusCounts.clear();
        for (auto seed = 1; seed <= runCount; ++seed) {
            INFO("seed " << seed);
            FaultRun(static_cast<std::uint64_t>(seed)).run();
        }
        for (const auto &[status, count] : FaultRun::statusCounts) {
            std::printf("config_faults %s=%d\n", std::string(toString(status)).c_str(), count);
        }
        THEN("each of the common results occurred")
        {
            CHECK(FaultRun::statusCounts[EditStatus::Done] > 0);
            CHECK(FaultRun::statusCounts[EditStatus::Conflict] > 0);
            CHECK(FaultRun::statusCounts[EditStatus::Unavailable] > 0);
        }
    }
}
