/// Processing of an answer's body: hashing, and splitting a stream into whole events.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct XXH3_state_s;

namespace applehatch::core {

/// `stableHash` of a body that arrives in parts.
class BodyHash
{
public:
    BodyHash();

    auto append(std::string_view data) -> void;
    [[nodiscard]] auto value() const -> std::uint64_t;

private:
    struct Free
    {
        auto operator()(XXH3_state_s *state) const -> void;
    };

    std::unique_ptr<XXH3_state_s, Free> state_;
};

/// Cuts a server-sent-events body at its blank lines.
class EventSplitter
{
public:
    /// Appends the next bytes and returns the events that they complete, blank lines included.
    [[nodiscard]] auto append(std::string_view data) -> std::vector<std::string>;

    /// Removes and returns the bytes after the last whole event.
    [[nodiscard]] auto takeRest() -> std::string;

private:
    auto endLine() -> void;

    std::string partial_;
    bool lineEmpty_ = true;
    bool afterReturn_ = false; ///< The last byte was a carriage return.
    bool eventEnded_ = false;
};

} // namespace applehatch::core
