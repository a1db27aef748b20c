#include "applehatch/core/answer-store.h"

#include <xxhash.h>

#include <algorithm>

namespace applehatch::core {

struct StoredAnswer::Hasher
{
    struct Free
    {
        auto operator()(XXH3_state_t *unused) const -> void { XXH3_freeState(unused); }
    };

    std::unique_ptr<XXH3_state_t, Free> state{XXH3_createState()};

    Hasher() { XXH3_64bits_reset(state.get()); }
};

StoredAnswer::StoredAnswer(std::uint64_t base)
    : base_(base)
    , hasher_(base == 0 ? std::make_unique<Hasher>() : nullptr)
{ }

StoredAnswer::~StoredAnswer() = default;
StoredAnswer::StoredAnswer(StoredAnswer &&other) noexcept = default;
auto StoredAnswer::operator=(StoredAnswer &&other) noexcept -> StoredAnswer & = default;

auto StoredAnswer::append(std::string_view data) -> void
{
    bytes_ += data;
    if (hasher_)
        XXH3_64bits_update(hasher_->state.get(), data.data(), data.size());
}

auto StoredAnswer::trim(std::uint64_t offset) -> void
{
    if (offset <= base_)
        return;
    const auto count = std::min<std::uint64_t>(offset - base_, bytes_.size());
    bytes_.erase(0, count);
    bytes_.shrink_to_fit();
    base_ += count;
}

auto StoredAnswer::from(std::uint64_t offset) const -> std::string_view
{
    const auto skip = std::min<std::uint64_t>(offset - base_, bytes_.size());
    return std::string_view(bytes_).substr(skip);
}

auto StoredAnswer::hash() const -> std::uint64_t
{
    return hasher_ ? XXH3_64bits_digest(hasher_->state.get()) : 0;
}

AnswerStore::AnswerStore(AnswerLimits limits)
    : limits_(limits)
{ }

auto AnswerStore::begin(std::uint64_t run, std::uint64_t base) -> void
{
    entries_.insert_or_assign(run, Entry{StoredAnswer(base), base, false});
}

auto AnswerStore::append(std::uint64_t run, std::string_view data) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> dropped;
    const auto found = entries_.find(run);
    if (found == entries_.end())
        return dropped;
    found->second.answer.append(data);
    bytes_ += data.size();
    if (pending(found->second) > limits_.unacknowledged) {
        drop(run);
        dropped.push_back(run);
    }
    makeRoom(dropped);
    return dropped;
}

auto AnswerStore::acknowledge(std::uint64_t run, std::uint64_t offset) -> void
{
    const auto found = entries_.find(run);
    if (found == entries_.end())
        return;
    auto &entry = found->second;
    entry.acknowledged = std::clamp(offset, entry.acknowledged, entry.answer.length());
}

auto AnswerStore::finish(std::uint64_t run, Instant now) -> void
{
    const auto found = entries_.find(run);
    if (found == entries_.end() || found->second.finished)
        return;
    found->second.finished = true;
    finished_.push_back({run, now});
}

auto AnswerStore::drop(std::uint64_t run) -> void
{
    const auto found = entries_.find(run);
    if (found == entries_.end())
        return;
    bytes_ -= found->second.answer.storedBytes();
    if (found->second.finished)
        finished_.remove_if([run](const Finished &entry) { return entry.run == run; });
    entries_.erase(found);
}

auto AnswerStore::find(std::uint64_t run) const -> const StoredAnswer *
{
    const auto found = entries_.find(run);
    return found == entries_.end() ? nullptr : &found->second.answer;
}

auto AnswerStore::expire(Instant now) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> dropped;
    while (!finished_.empty() && now - finished_.front().at >= limits_.lifetime) {
        dropped.push_back(finished_.front().run);
        drop(finished_.front().run);
    }
    return dropped;
}

auto AnswerStore::unfinished(std::uint64_t run) const -> bool
{
    const auto found = entries_.find(run);
    return found != entries_.end() && !found->second.finished;
}

auto AnswerStore::pending(const Entry &entry) -> std::uint64_t
{
    return entry.answer.length() - std::max(entry.acknowledged, entry.answer.base());
}

auto AnswerStore::makeRoom(std::vector<std::uint64_t> &dropped) -> void
{
    while (bytes_ > limits_.total && !finished_.empty()) {
        dropped.push_back(finished_.front().run);
        drop(finished_.front().run);
    }
    if (bytes_ > limits_.total)
        trimAcknowledged();
    while (bytes_ > limits_.total) {
        const auto run = largestPending();
        drop(run);
        dropped.push_back(run);
    }
}

auto AnswerStore::trimAcknowledged() -> void
{
    for (auto &[run, entry] : entries_) {
        const auto before = entry.answer.storedBytes();
        entry.answer.trim(entry.acknowledged);
        bytes_ -= before - entry.answer.storedBytes();
    }
}

auto AnswerStore::largestPending() const -> std::uint64_t
{
    const auto largest =
        std::max_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
            const auto first = pending(a.second);
            const auto second = pending(b.second);
            return first != second ? first < second : a.first < b.first;
        });
    return largest->first;
}

} // namespace applehatch::core
