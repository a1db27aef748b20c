/// Which idempotency keys ran here, and what they answered.
#pragma once

#include "applehatch/core/message.h"

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

namespace applehatch::core {

/// A whole answer as it was given the first time.
struct RecordedAnswer
{
    int status = 200;
    Headers headers;
    std::string body;
};

/// What is known of a key.
struct RunOnceEntry
{
    enum class State {
        Active,   ///< Waiting or running as `run`.
        Answered, ///< Ran; `answer` is null when its bytes had to go.
        Unknown,  ///< May have run; never runs again.
    };

    Fingerprint fingerprint = 0;
    State state = State::Active;
    std::uint64_t run = 0;
    std::shared_ptr<const RecordedAnswer> answer;
};

/// Keys of all customers, bounded in number and in recorded bytes.
///
/// A live key never gives way to a new one: it would run twice when its caller sends it again.
class RunOnceTable
{
public:
    RunOnceTable(std::size_t keys, std::size_t answerBytes);

    /// The name of a customer's key within the table.
    [[nodiscard]] static auto nameOf(const Terms &terms) -> std::string;

    /// Null for a key that is not held.
    [[nodiscard]] auto find(const std::string &name) const -> const RunOnceEntry *;

    /// Enters a new key as active; false when the table is full of live keys.
    [[nodiscard]] auto begin(const std::string &name, Fingerprint fingerprint, std::uint64_t run,
                             Instant now) -> bool;

    /// The key's run ended whole; it is held until `until`.
    auto record(const std::string &name, RecordedAnswer answer, Instant until) -> void;

    /// The key's run ended, nobody knows how; it is held until `until`.
    auto markUnknown(const std::string &name, Instant until) -> void;

    /// The key never began to run.
    auto forget(const std::string &name) -> void;

    auto expire(Instant now) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return held_.size(); }

private:
    struct Held
    {
        RunOnceEntry entry;
        Instant until = Instant::max();
    };

    auto makeRoom() -> void;

    std::size_t keys_;
    std::size_t answerBytes_;
    std::size_t bytes_ = 0;
    std::unordered_map<std::string, Held> held_;
    std::list<std::string> answered_; // With recorded bytes, oldest first.
};

} // namespace applehatch::core
