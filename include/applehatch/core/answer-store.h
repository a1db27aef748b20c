/// Answers kept with their offsets, so that a lost link or a late caller can be served again.
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

/// The bytes of one answer from `base` on, and the hash of everything appended.
class StoredAnswer
{
public:
    explicit StoredAnswer(std::uint64_t base = 0);
    ~StoredAnswer();
    StoredAnswer(StoredAnswer &&other) noexcept;
    auto operator=(StoredAnswer &&other) noexcept -> StoredAnswer &;

    auto append(std::string_view data) -> void;

    /// Forgets the bytes before `offset`.
    auto trim(std::uint64_t offset) -> void;

    /// The bytes from `offset` on, which must not lie before `base()`; empty at the end.
    [[nodiscard]] auto from(std::uint64_t offset) const -> std::string_view;

    [[nodiscard]] auto base() const -> std::uint64_t { return base_; }
    [[nodiscard]] auto length() const -> std::uint64_t { return base_ + bytes_.size(); }
    [[nodiscard]] auto kept() const -> std::size_t { return bytes_.size(); }

    /// `stableHash` of the whole body; 0 when the answer did not begin at 0.
    [[nodiscard]] auto hash() const -> std::uint64_t;

private:
    struct Hasher;

    std::uint64_t base_;
    std::string bytes_;
    std::unique_ptr<Hasher> hasher_;
};

/// What is kept, at most.
struct AnswerLimits
{
    std::size_t total = 0;          ///< Bytes of all answers.
    std::size_t unacknowledged = 0; ///< Bytes of one unfinished answer beyond its acknowledgement.
    Duration lifetime{0};           ///< Of a finished answer.
};

/// All answers of a sidecar. Answers given up are named by their return values.
class AnswerStore
{
public:
    explicit AnswerStore(AnswerLimits limits);

    auto begin(std::uint64_t run, std::uint64_t base = 0) -> void;

    /// Appends to an unfinished answer. Gives the answers that had to go to keep the limits:
    /// finished ones, oldest first; then the unfinished one with most unacknowledged bytes.
    auto append(std::uint64_t run, std::string_view data) -> std::vector<std::uint64_t>;

    auto acknowledge(std::uint64_t run, std::uint64_t offset) -> void;
    auto finish(std::uint64_t run, Instant now) -> void;
    auto drop(std::uint64_t run) -> void;

    /// Null when the answer is not kept.
    [[nodiscard]] auto find(std::uint64_t run) const -> const StoredAnswer *;

    /// Drops the finished answers whose lifetime has passed, and names them.
    auto expire(Instant now) -> std::vector<std::uint64_t>;

    [[nodiscard]] auto bytes() const -> std::size_t { return bytes_; }
    [[nodiscard]] auto unfinished(std::uint64_t run) const -> bool;

private:
    struct Held
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

    [[nodiscard]] static auto pending(const Held &held) -> std::uint64_t;
    auto makeRoom(std::vector<std::uint64_t> &dropped) -> void;
    auto trimAcknowledged() -> void;
    [[nodiscard]] auto largestPending() const -> std::uint64_t;

    AnswerLimits limits_;
    std::unordered_map<std::uint64_t, Held> held_;
    std::list<Finished> finished_; // Oldest first.
    std::size_t bytes_ = 0;
};

} // namespace applehatch::core
