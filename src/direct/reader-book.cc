#include "applehatch/direct/reader-book.h"

#include "applehatch/direct/registry-readers.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

namespace {

// An answer may come this much before or after its turn without a call to set it right.
constexpr Duration tolerance = ReaderBook::watchPeriod / 12;

} // namespace

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
    // Of a process that started after the time of day was set back.
    const auto isOtherLife = word.heartbeat < row.word.heartbeat && word.age < trustedFor
        && now - row.beatAt > trustedFor;
    if (word.heartbeat > row.word.heartbeat || isOtherLife) {
        const auto isKnown = row.word.heartbeat > 0;
        row = {word, now - word.age, false};
        // It was not the registry that was quiet, nor its readers: their words came late.
        if (isKnown && quietSince_ && row.beatAt > *quietSince_)
            quietSince_.reset();
    } else if (word.heartbeat == row.word.heartbeat) {
        row.word.revision = std::max(row.word.revision, word.revision);
    }
}

auto ReaderBook::noteStopped(const Address &router) -> void
{
    const auto found = rows_.find(readerRank(router));
    if (found != rows_.end())
        found->second.stopped = true;
}

auto ReaderBook::setAsideWhenQuiet(Duration limit, Instant now) -> bool
{
    const auto youngest = youngestAnswer();
    const auto isNews = youngest && youngest != quietSince_;
    if (!isNews || now - *youngest <= limit)
        return false;
    quietSince_ = youngest;
    return true;
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
    return words;
}

auto ReaderBook::told(std::optional<ReaderWord> own, Instant now) const -> std::vector<ReaderWord>
{
    auto words = readers(now);
    words.resize(std::min(words.size(), RegistryReaders::wanted));
    if (own)
        words.push_back(std::move(*own));
    return words;
}

auto ReaderBook::sinceAnswer(Instant now) const -> std::optional<Duration>
{
    const auto youngest = youngestAnswer();
    return youngest ? std::optional<Duration>(now - *youngest) : std::nullopt;
}

auto ReaderBook::nextWatch(Instant now) const -> Duration
{
    std::optional<Instant> leadBeatAt; // The reader of lowest rank sets the pace.
    std::size_t before = 0;
    std::size_t readers = 1;
    const auto ownRank = readerRank(self_);
    for (const auto &[rank, row] : rows_) {
        if (!counts(row, now))
            continue;
        ++readers;
        if (rank > ownRank)
            continue;
        ++before;
        if (!leadBeatAt)
            leadBeatAt = row.beatAt;
    }
    if (!leadBeatAt || before >= RegistryReaders::wanted)
        return watchPeriod;
    const auto shares = static_cast<Duration::rep>(std::min(readers, RegistryReaders::wanted));
    const auto own = watchPeriod * static_cast<Duration::rep>(before) / shares;
    const auto sinceTurn = (now - *leadBeatAt + watchPeriod - own) % watchPeriod;
    const auto wait = watchPeriod - sinceTurn;
    return wait < tolerance ? wait + watchPeriod : wait;
}

auto ReaderBook::youngestAnswer() const -> std::optional<Instant>
{
    auto youngest = ownBeatAt_;
    for (const auto &[rank, row] : rows_) {
        if (!youngest || row.beatAt > *youngest)
            youngest = row.beatAt;
    }
    return youngest;
}

auto ReaderBook::counts(const Row &row, Instant now) const -> bool
{
    const auto isAside = quietSince_ && row.beatAt <= *quietSince_;
    return !row.stopped && !isAside && now - row.beatAt <= trustedFor;
}

} // namespace applehatch::direct
