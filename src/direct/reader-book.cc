#include "applehatch/direct/reader-book.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

auto readerRank(const Address &router) -> std::uint64_t
{
    return core::stableHash(router.ip + ':' + std::to_string(router.port));
}

ReaderBook::ReaderBook(Address self, std::uint64_t firstHeartbeat)
    : self_(std::move(self))
    , ownHeartbeat_(firstHeartbeat)
{ }

auto ReaderBook::beat(Instant now) -> void
{
    ++ownHeartbeat_;
    ownBeatAt_ = now;
}

auto ReaderBook::ownWord(std::uint64_t revision, Instant now) const -> std::optional<ReaderWord>
{
    if (!ownBeatAt_ || now - *ownBeatAt_ > trustedFor)
        return std::nullopt;
    return ReaderWord{self_, ownHeartbeat_, revision, now - *ownBeatAt_};
}

auto ReaderBook::note(const ReaderWord &word, Instant now) -> void
{
    if (word.router == self_)
        return;
    std::erase_if(rows_,
                  [now](const auto &entry) { return now - entry.second.beatAt > rememberedFor; });
    auto &row = rows_[readerRank(word.router)];
    if (word.heartbeat > row.word.heartbeat)
        row = {word, now - word.age, false};
    else if (word.heartbeat == row.word.heartbeat)
        row.word.revision = std::max(row.word.revision, word.revision);
}

auto ReaderBook::noteStopped(const Address &router) -> void
{
    const auto found = rows_.find(readerRank(router));
    if (found != rows_.end())
        found->second.stopped = true;
}

auto ReaderBook::readers(Instant now) const -> std::vector<ReaderWord>
{
    std::vector<ReaderWord> words;
    for (const auto &[rank, row] : rows_) {
        if (!counts(row, now))
            continue;
        words.push_back(row.word);
        words.back().age = now - row.beatAt;
    }
    std::sort(words.begin(), words.end(),
              [](const ReaderWord &a, const ReaderWord &b) { return a.age < b.age; });
    return words;
}

auto ReaderBook::counts(const Row &row, Instant now) const -> bool
{
    return !row.stopped && now - row.beatAt <= trustedFor;
}

} // namespace applehatch::direct
