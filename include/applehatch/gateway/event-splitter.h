/// Splits a stream of server-sent events into complete events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace applehatch::gateway {

/// Incremental splitter for server-sent events.
///
/// An upstream may stop in the middle of an event. Only complete events are forwarded, so that
/// another upstream can resume after the last one and the caller never receives an event joined
/// from two parts. Each byte is searched once, however many reads an event takes: an upstream that
/// never ends an event must not cost more and more with each read.
class EventSplitter
{
public:
    /// Appends bytes and returns all events that are now complete.
    [[nodiscard]] auto feed(std::string_view bytes) -> std::string;
    /// Discards an incomplete event, with its memory.
    auto dropPartial() -> void { partial_ = {}; }
    /// Bytes after the last complete event.
    [[nodiscard]] auto partial() const -> const std::string & { return partial_; }
    /// Last event id seen in a complete event; empty before the first.
    [[nodiscard]] auto lastId() const -> const std::string & { return lastId_; }
    /// Number of complete events so far.
    [[nodiscard]] auto events() const -> std::uint64_t { return events_; }
    /// Whether numeric event ids have been strictly increasing; false once a resumed stream
    /// repeated or went back to an earlier id.
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
