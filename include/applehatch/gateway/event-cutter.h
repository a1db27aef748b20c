/// Cuts a stream of server-sent events into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace applehatch::gateway {

/// An upstream may stop in the middle of an event. Only whole events are passed on, so that another
/// upstream can go on after the last one and the caller never sees two pieces joined.
class EventSplitter
{
public:
    /// Takes bytes; gives the whole events that they complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::string;
    /// Forgets the beginning of an event that will not be completed.
    auto dropPartial() -> void { partial_.clear(); }
    /// What is left after the last whole event.
    [[nodiscard]] auto partial() const -> const std::string & { return partial_; }
    /// The id of the last whole event; empty before the first.
    [[nodiscard]] auto lastId() const -> const std::string & { return lastId_; }
    [[nodiscard]] auto events() const -> std::uint64_t { return events_; }
    /// Whether ids rose from each event to the next; false once a resumed stream went back.
    [[nodiscard]] auto isInOrder() const -> bool { return inOrder_; }

private:
    auto noteEvent(std::string_view event) -> void;

    std::string partial_;
    std::string lastId_;
    std::optional<std::uint64_t> lastNumber_;
    std::uint64_t events_ = 0;
    bool inOrder_ = true;
};

} // namespace applehatch::gateway
