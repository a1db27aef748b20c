/// Idempotency keys that ran at this sidecar, and their recorded answers.
#pragma once

#include "applehatch/core/message.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

namespace applehatch::core {

/// The complete answer of a key's first run.
struct RecordedAnswer
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// The state of one key.
struct RunOnceEntry
{
    enum class State {
        Active,   ///< Waits or runs as `run`.
        Answered, ///< Ran; `answer` is null if it was evicted.
        Unknown,  ///< May have run and must not run again.
    };

    Fingerprint fingerprint = 0;
    State state = State::Active;
    std::uint64_t run = 0;
    std::shared_ptr<const RecordedAnswer> answer;
};

/// Keys of all customers, limited in number and in bytes of recorded answers.
///
/// A live key is never evicted for a new one: it would run twice if its caller sent it again.
class RunOnceTable
{
public:
    RunOnceTable(std::size_t maxKeys, std::size_t maxAnswerBytes);

    /// Returns the name in the table of a customer's idempotency key.
    [[nodiscard]] static auto nameOf(const Terms &terms) -> std::string;

    /// Returns null if the key is not in the table.
    [[nodiscard]] auto find(const std::string &name) const -> const RunOnceEntry *;

    /// Adds a new key as active; returns false if the table is full of live keys.
    [[nodiscard]] auto begin(const std::string &name, Fingerprint fingerprint, std::uint64_t run,
                             Instant now) -> bool;

    /// Records the complete answer of the key's run. The key expires at `until`.
    auto record(const std::string &name, RecordedAnswer answer, Instant until) -> void;

    /// Records that the outcome of the key's run is unknown. The key expires at `until`.
    auto markUnknown(const std::string &name, Instant until) -> void;

    /// Removes an active key that did not run.
    auto forget(const std::string &name) -> void;

    auto expire(Instant now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

private:
    struct ExpiringEntry
    {
        RunOnceEntry entry;
        Instant until = Instant::max();
    };

    auto makeRoom() -> void;

    std::size_t maxKeys_;
    std::size_t maxAnswerBytes_;
    std::size_t bytes_ = 0;
    std::unordered_map<std::string, ExpiringEntry> entries_;
    std::list<std::string> answered_; // Names of keys with a recorded answer, oldest first.
};

} // namespace applehatch::core
