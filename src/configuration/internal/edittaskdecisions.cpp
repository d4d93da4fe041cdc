#include "configuration/internal/edittask.h"

#include "configuration/manifestcodec.h"
#include "configuration/teamtoken.h"
#include "configuration/unifieddiff.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr std::size_t maximumHistoryVersions = 50;
constexpr std::size_t maximumManifestBytes = std::size_t{1000} * 1000;
const auto *const teamPrefix = "team ";
const auto *const bootstrapTeam = "bootstrap";

auto versionLabel(const SectionName &section, std::uint64_t version) -> std::string
{
    return section.value + " version " + std::to_string(version);
}

} // namespace

auto EditTask::executeOperation(Outbox &outbox) -> void
{
    auto parser = DocumentParser();
    auto parsed = parser.parse(this->sectionTexts());
    if (!parsed) {
        this->editResult.error = parser.lastError();
        this->finish(EditStatus::Unavailable, "this daemon can't parse the accepted document",
                     "Send the request to a daemon of a later version, and upgrade this one.");
        return;
    }
    this->document = std::move(*parsed);
    this->editResult.generation = this->manifest.generation;
    this->editResult.version = this->currentVersion();
    const auto *current = this->currentEntry();
    this->editResult.owner = current == nullptr ? TeamName{} : current->owner;
    if (!this->authenticate()) {
        return;
    }
    const auto operation = this->request.operation;
    if (operation == EditOperation::Set || operation == EditOperation::Check) {
        this->record.text = this->request.text;
        this->proposeChange(outbox);
        return;
    }
    this->answerRead(outbox);
}

auto EditTask::authenticate() -> bool
{
    const auto &bootstrapHash = this->context.settings.bootstrapTokenHash;
    const auto *team = this->document.teamOfToken(this->request.token);
    if (team != nullptr) {
        this->rights = {team->name, team->administrator};
        return true;
    }
    if (!this->document.hasAdministrator() && tokenMatches(this->request.token, bootstrapHash)) {
        this->rights = {TeamName{bootstrapTeam}, true};
        return true;
    }
    this->editResult.version = 0;
    this->editResult.owner = {};
    this->finish(EditStatus::Denied, "the token is not valid",
                 "Use a token whose hash is listed in a [team NAME] section.");
    return false;
}

auto EditTask::mayRead(const SectionName &section) const -> bool
{
    const auto isTeam = section.value.rfind(teamPrefix, 0) == 0;
    return !isTeam || this->rights.administrator
           || section.value == teamPrefix + this->rights.team.value;
}

auto EditTask::answerRead(Outbox &outbox) -> void
{
    if (this->request.section.empty()) {
        this->answerDocument();
        return;
    }
    if (!this->mayRead(this->request.section)) {
        this->finish(EditStatus::Denied, "the section contains another team's tokens",
                     "Ask that team or an administrator.");
        return;
    }
    const auto isGet = this->request.operation == EditOperation::Get;
    const auto wantsCurrent =
        this->request.toVersion == 0 || this->request.toVersion == this->currentVersion();
    if (this->currentEntry() == nullptr || (isGet && wantsCurrent && !this->sectionExists())) {
        this->finish(EditStatus::NotFound, "there is no such section",
                     "List the sections with 'gooseberrywallctl config get'.");
        return;
    }
    if (isGet && wantsCurrent) {
        this->editResult.text = this->currentText();
        this->finish(EditStatus::Done, {}, {});
        return;
    }
    if (!this->history.empty()) {
        this->answerFromHistory(outbox);
        return;
    }
    this->versionToRead = this->currentVersion();
    this->enterPhase(Phase::ReadHistory, outbox);
}

auto EditTask::answerDocument() -> void
{
    for (const auto &candidate : this->manifest.entries) {
        if (candidate.removed) {
            continue;
        }
        this->editResult.sections.push_back(candidate);
        const auto &text = this->texts.at(candidate.section).text;
        const auto hidden = "[" + candidate.section.value + "]\n# hidden: another team's tokens\n";
        this->editResult.text += this->editResult.text.empty() ? "" : "\n";
        this->editResult.text += this->mayRead(candidate.section) ? text : hidden;
    }
    this->finish(EditStatus::Done, {}, {});
}

auto EditTask::wantsMoreHistory() const -> bool
{
    if (this->versionToRead == 0 || this->history.size() >= maximumHistoryVersions) {
        return false;
    }
    const auto wanted = this->request.toVersion;
    switch (this->request.operation) {
    case EditOperation::History:
        return true;
    case EditOperation::Diff: {
        const auto to = wanted == 0 ? this->currentVersion() : wanted;
        const auto *record = this->findInHistory(to);
        const auto from = this->request.fromVersion != 0 ? this->request.fromVersion
                          : record != nullptr            ? record->previous
                                                         : 0;
        return record == nullptr || (from != 0 && this->findInHistory(from) == nullptr);
    }
    default:
        return this->findInHistory(wanted) == nullptr;
    }
}

auto EditTask::findInHistory(std::uint64_t version) const -> const SectionRecord *
{
    for (const auto &candidate : this->history) {
        if (candidate.version == version) {
            return &candidate;
        }
    }
    return nullptr;
}

auto EditTask::answerFromHistory(Outbox &outbox) -> void
{
    if (this->request.operation == EditOperation::History) {
        this->editResult.history = this->history;
        this->finish(EditStatus::Done, {}, {});
        return;
    }
    if (this->request.operation == EditOperation::Diff) {
        this->answerDiff();
        return;
    }
    const auto *wanted = this->findInHistory(this->request.toVersion);
    if (wanted == nullptr) {
        this->finish(EditStatus::NotFound,
                     "version " + std::to_string(this->request.toVersion)
                         + " is not among the last accepted versions",
                     "List them with 'gooseberrywallctl config history'.");
        return;
    }
    if (this->request.operation == EditOperation::Get) {
        this->editResult.text = wanted->text;
        this->editResult.version = wanted->version;
        this->finish(EditStatus::Done, {}, {});
        return;
    }
    this->record.text = wanted->text;
    if (this->request.expectedVersion == 0) {
        this->request.expectedVersion = this->currentVersion();
    }
    this->proposeChange(outbox);
}

auto EditTask::answerDiff() -> void
{
    const auto to = this->request.toVersion == 0 ? this->currentVersion() : this->request.toVersion;
    const auto *after = this->findInHistory(to);
    const auto from = this->request.fromVersion != 0 || after == nullptr ? this->request.fromVersion
                                                                         : after->previous;
    const auto *before = this->findInHistory(from);
    if (after == nullptr || (from != 0 && before == nullptr)) {
        this->finish(EditStatus::NotFound,
                     "one of the versions is not among the last accepted versions",
                     "List them with 'gooseberrywallctl config history'.");
        return;
    }
    const auto old = before == nullptr ? std::string{} : before->text;
    this->editResult.diff = unifiedDiff(old, after->text, versionLabel(this->request.section, from),
                                        versionLabel(this->request.section, to));
    this->finish(EditStatus::Done, {}, {});
}

auto EditTask::hasExpectedVersion() const -> bool
{
    const auto expected = this->request.expectedVersion;
    return expected == this->currentVersion() || (expected == 0 && !this->sectionExists());
}

auto EditTask::proposeChange(Outbox &outbox) -> void
{
    if (!this->hasExpectedVersion()) {
        if (this->request.expectedVersion == 0) {
            this->finishConflict({});
            return;
        }
        this->enterPhase(Phase::ReadConflict, outbox);
        return;
    }
    if (!this->sectionExists() && this->record.text.empty()) {
        this->finish(EditStatus::NotFound, "there is no such section", "Nothing is left to do.");
        return;
    }
    auto check = ChangeCheck(this->document, this->sectionTexts(), this->rights);
    if (!check.allows({this->request.section, this->record.text})) {
        this->editResult.error = check.error();
        this->finish(check.status(), check.error().message, check.error().remedy);
        return;
    }
    this->newOwner = check.newOwner();
    this->editResult.diff = unifiedDiff(this->currentText(), this->record.text,
                                        versionLabel(this->request.section, this->currentVersion()),
                                        this->request.section.value);
    if (this->request.operation == EditOperation::Check || this->editResult.diff.empty()) {
        this->finish(EditStatus::Done,
                     this->editResult.diff.empty() ? "nothing to change" : "valid", {});
        return;
    }
    this->writeChange(outbox);
}

auto EditTask::writeChange(Outbox &outbox) -> void
{
    if (this->sectionWritten && this->record.previous == this->currentVersion()) {
        this->enterPhase(Phase::SwapManifest, outbox);
        return;
    }
    // Other edits may have added and removed a new section meanwhile. Then the written record names
    // the wrong previous version and must be written again.
    this->sectionWritten = false;
    this->record.version = this->currentVersion() + 1;
    this->record.previous = this->currentVersion();
    this->record.operation = this->context.nextOperation();
    this->record.team = this->rights.team;
    this->record.writtenAt = this->request.at;
    if (encodeManifest(this->manifestWithChange()).size() > maximumManifestBytes) {
        this->finish(EditStatus::Refused,
                     "the document has too many sections: its manifest would exceed 1000000 bytes",
                     "Merge sections, such as [callers] with the same members.");
        return;
    }
    this->enterPhase(Phase::WriteSection, outbox);
}

auto EditTask::finishConflict(const StoreAnswer &answer) -> void
{
    const auto expected = this->request.expectedVersion;
    const auto *current = this->currentEntry();
    auto base = std::string{};
    if (!answer.items.empty()) {
        const auto read = decodeSectionRecord(answer.items.front().value);
        base = read ? read->text : std::string{};
    }
    if (this->mayRead(this->request.section)) {
        this->editResult.diff =
            unifiedDiff(base, this->currentText(), versionLabel(this->request.section, expected),
                        versionLabel(this->request.section, this->currentVersion()));
    }
    const auto ownerText = current == nullptr ? "" : " of team '" + current->owner.value + "'";
    this->finish(EditStatus::Conflict,
                 "the section" + ownerText + " has changed since version "
                     + std::to_string(expected),
                 "Read version " + std::to_string(this->currentVersion())
                     + ", make your change in it, and send it with that version.");
}

} // namespace gooseberrywall
