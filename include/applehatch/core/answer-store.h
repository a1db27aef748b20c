/// Buffers of answers by offset. A caller can resume an answer after its link was lost or when it
/// reconnects late.
#pragma once

#include "applehatch/core/identity.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace applehatch::core {

/// The bytes of one answer from offset `base` on, and the hash of all bytes appended.
class StoredAnswer
{
public:
    explicit StoredAnswer(std::uint64_t base = 0);
    ~StoredAnswer();
    StoredAnswer(StoredAnswer &&other) noexcept;
    auto operator=(StoredAnswer &&other) noexcept -> StoredAnswer &;

    auto append(std::string_view data) -> void;

    /// Discards the bytes before `offset`.
    auto trim(std::uint64_t offset) -> void;

    /// Returns the bytes from `offset` on; empty at the end. `offset` must be at least `base()`.
    [[nodiscard]] auto from(std::uint64_t offset) const -> std::string_view;

    [[nodiscard]] auto base() const -> std::uint64_t { return base_; }
    [[nodiscard]] auto length() const -> std::uint64_t { return base_ + bytes_.size(); }
    [[nodiscard]] auto storedBytes() const -> std::size_t { return bytes_.size(); }

    /// `stableHash` of the whole body; 0 when the answer did not begin at 0.
    [[nodiscard]] auto hash() const -> std::uint64_t;

private:
    struct Hasher;

    std::uint64_t base_;
    std::string bytes_;
    std::unique_ptr<Hasher> hasher_;
};

/// Limits of an `AnswerStore`.
struct AnswerLimits
{
    std::size_t total = 0;          ///< Bytes stored for all answers.
    std::size_t unacknowledged = 0; ///< Unacknowledged bytes of one unfinished answer.
    Duration lifetime{0};           ///< Time for which a finished answer is stored.
};

/// The answers of one sidecar by run. Functions that evict answers return their runs.
class AnswerStore
{
public:
    explicit AnswerStore(AnswerLimits limits);

    auto begin(std::uint64_t run, std::uint64_t base = 0) -> void;

    /// Appends to an unfinished answer and returns the runs whose answers were evicted to stay
    /// within the limits: finished ones, oldest first; then the unfinished ones with the most
    /// unacknowledged bytes.
    auto append(std::uint64_t run, std::string_view data) -> std::vector<std::uint64_t>;

    auto acknowledge(std::uint64_t run, std::uint64_t offset) -> void;
    auto finish(std::uint64_t run, Instant now) -> void;
    auto drop(std::uint64_t run) -> void;

    /// Returns null when the answer is not stored.
    [[nodiscard]] auto find(std::uint64_t run) const -> const StoredAnswer *;

    /// Drops the finished answers whose lifetime has passed and returns their runs.
    auto expire(Instant now) -> std::vector<std::uint64_t>;

    [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }
    [[nodiscard]] auto unfinished(std::uint64_t run) const -> bool;

private:
    struct Entry
    {
        StoredAnswer answer;
        std::uint64_t acknowledged = 0;
        bool finished = false;
    };

    struct Finished
    {
        std::uint64_t run;
        Instant at;
    };

    [[nodiscard]] static auto pending(const Entry &entry) -> std::uint64_t;
    auto makeRoom(std::vector<std::uint64_t> &dropped) -> void;
    auto trimAcknowledged() -> void;
    [[nodiscard]] auto largestPending() const -> std::uint64_t;

    AnswerLimits limits_;
    std::unordered_map<std::uint64_t, Entry> entries_;
    std::list<Finished> finished_; // Oldest first.
    std::size_t bytes_ = 0;
};

} // namespace applehatch::core
