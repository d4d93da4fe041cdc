#include "configuration/configurationeditor.h"

#include "common/logline.h"
#include "configuration/internal/editcontext.h"
#include "configuration/internal/edittask.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

auto operationName(EditOperation operation) -> std::string_view
{
    switch (operation) {
    case EditOperation::Get:
        return "get";
    case EditOperation::Set:
        return "set";
    case EditOperation::Check:
        return "check";
    case EditOperation::Diff:
        return "diff";
    case EditOperation::History:
        return "history";
    case EditOperation::Rollback:
        return "rollback";
    }
    return "get";
}

auto isChange(EditOperation operation) -> bool
{
    return operation == EditOperation::Set || operation == EditOperation::Rollback;
}

/// Logs changes and denied edits. Texts and messages are left out, since they may contain a token.
auto logEdit(const EditTask &task, Outbox &outbox) -> void
{
    const auto &result = task.result();
    if (!isChange(result.operation) && result.status != EditStatus::Denied) {
        return;
    }
    outbox.log(LogLine("configuration_edit")
                   .with("operation", operationName(result.operation))
                   .with("section", result.section.value)
                   .with("status", toString(result.status))
                   .with("team", task.team().value)
                   .with("version", static_cast<std::int64_t>(result.version))
                   .with("generation", static_cast<std::int64_t>(result.generation))
                   .with("fault", toString(result.error.kind))
                   .with("fault_key", result.error.key)
                   .text());
}

} // namespace

auto toString(EditStatus status) -> std::string_view
{
    switch (status) {
    case EditStatus::Done:
        return "done";
    case EditStatus::Refused:
        return "refused";
    case EditStatus::Denied:
        return "denied";
    case EditStatus::Conflict:
        return "conflict";
    case EditStatus::NotFound:
        return "not_found";
    case EditStatus::Unavailable:
        return "unavailable";
    case EditStatus::OutcomeUnknown:
        return "outcome_unknown";
    }
    return "unavailable";
}

auto EditContext::cached(const ManifestEntry &entry) const -> const std::string *
{
    const auto found = this->cache.find(entry.section);
    const auto same = found != this->cache.end() && found->second.version == entry.version;
    return same ? &found->second.text : nullptr;
}

ConfigurationEditor::ConfigurationEditor(DaemonIdentity self, EditorSettings settings,
                                         std::uint64_t randomSeed)
    : context(std::make_unique<EditContext>())
{
    this->context->self = std::move(self);
    this->context->settings = std::move(settings);
    this->context->random.seed(randomSeed);
}

ConfigurationEditor::~ConfigurationEditor() = default;

auto ConfigurationEditor::start(Instant now, EditRequest request, Outbox &outbox) -> EditId
{
    this->lastEdit = this->lastEdit.next();
    this->tasks.push_back(
        std::make_unique<EditTask>(*this->context, this->lastEdit, std::move(request), now));
    this->tasks.back()->begin(outbox);
    return this->lastEdit;
}

auto ConfigurationEditor::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer,
                                        Outbox &outbox) -> bool
{
    for (const auto &task : this->tasks) {
        if (task->onStoreAnswer(now, call, answer, outbox)) {
            this->collect(outbox);
            return true;
        }
    }
    return false;
}

auto ConfigurationEditor::tick(Instant now, Outbox &outbox) -> void
{
    for (const auto &task : this->tasks) {
        task->tick(now, outbox);
    }
    this->collect(outbox);
}

auto ConfigurationEditor::updateCache(std::uint64_t generation,
                                      const std::vector<ConfigurationSection> &sections) -> void
{
    this->context->knownGeneration = std::max(this->context->knownGeneration, generation);
    for (const auto &section : sections) {
        auto &cached = this->context->cache[SectionName{section.name}];
        if (section.version.value > cached.version) {
            cached = {section.version.value, section.text};
        }
    }
}

auto ConfigurationEditor::takeResults() -> std::vector<EditResult>
{
    return std::exchange(this->results, {});
}

auto ConfigurationEditor::collect(Outbox &outbox) -> void
{
    for (const auto &task : this->tasks) {
        if (task->isFinished()) {
            logEdit(*task, outbox);
            this->results.push_back(task->result());
        }
    }
    const auto isFinished = [](const std::unique_ptr<EditTask> &task) {
        return task->isFinished();
    };
    this->tasks.erase(std::remove_if(this->tasks.begin(), this->tasks.end(), isFinished),
                      this->tasks.end());
}

} // namespace gooseberrywall
