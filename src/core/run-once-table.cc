#include "applehatch/core/run-once-table.h"

namespace applehatch::core {

namespace {

// Cannot occur in a header or a name in the settings, so the names of two keys are never equal.
constexpr char fieldEnd = '\0';

} // namespace

RunOnceTable::RunOnceTable(std::size_t maxKeys, std::size_t maxAnswerBytes)
    : maxKeys_(maxKeys)
    , maxAnswerBytes_(maxAnswerBytes)
{ }

auto RunOnceTable::nameOf(const Terms &terms) -> std::string
{
    return terms.team + fieldEnd + terms.customer + fieldEnd + terms.idempotencyKey;
}

auto RunOnceTable::find(const std::string &name) const -> const RunOnceEntry *
{
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second.entry;
}

auto RunOnceTable::begin(const std::string &name, Fingerprint fingerprint, std::uint64_t run,
                         Instant now) -> bool
{
    if (entries_.size() >= maxKeys_)
        expire(now);
    if (entries_.size() >= maxKeys_)
        return false;
    entries_[name].entry = {fingerprint, RunOnceEntry::State::Active, run, nullptr};
    return true;
}

auto RunOnceTable::record(const std::string &name, RecordedAnswer answer, Instant until) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end())
        return;
    bytes_ += answer.body.size();
    found->second.entry.state = RunOnceEntry::State::Answered;
    found->second.entry.answer = std::make_shared<const RecordedAnswer>(std::move(answer));
    found->second.until = until;
    answered_.push_back(name);
    makeRoom();
}

auto RunOnceTable::markUnknown(const std::string &name, Instant until) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end() || found->second.entry.state != RunOnceEntry::State::Active)
        return;
    found->second.entry.state = RunOnceEntry::State::Unknown;
    found->second.until = until;
}

auto RunOnceTable::forget(const std::string &name) -> void
{
    const auto found = entries_.find(name);
    if (found != entries_.end() && found->second.entry.state == RunOnceEntry::State::Active)
        entries_.erase(found);
}

auto RunOnceTable::expire(Instant now) -> void
{
    std::erase_if(entries_, [&](const auto &item) {
        const auto expired = item.second.until <= now;
        if (expired && item.second.entry.answer)
            bytes_ -= item.second.entry.answer->body.size();
        return expired;
    });
    answered_.remove_if([this](const std::string &name) { return !entries_.contains(name); });
}

auto RunOnceTable::makeRoom() -> void
{
    while (bytes_ > maxAnswerBytes_ && !answered_.empty()) {
        auto &entry = entries_[answered_.front()].entry;
        bytes_ -= entry.answer->body.size();
        entry.answer = nullptr;
        answered_.pop_front();
    }
}

} // namespace applehatch::core
