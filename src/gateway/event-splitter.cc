#include "applehatch/gateway/event-splitter.h"

#include <charconv>
#include <utility>

namespace applehatch::gateway {

namespace {

// Whether an event that starts at the front of `text` ends with it: after a blank line, with either
// line end.
auto endsEvent(std::string_view text) -> bool
{
    return text.ends_with("\n\n") || text.ends_with("\r\n\r\n");
}

auto idOf(std::string_view event) -> std::string_view
{
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const auto line = event.substr(0, event.find('\n'));
        if (line.starts_with(name)) {
            auto value = line.substr(name.size());
            while (!value.empty() && value.front() == ' ')
                value.remove_prefix(1);
            while (!value.empty() && value.back() == '\r')
                value.remove_suffix(1);
            return value;
        }
        event = line.size() < event.size() ? event.substr(line.size() + 1) : std::string_view();
    }
    return {};
}

auto numberOf(std::string_view text) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

auto EventSplitter::feed(std::string_view bytes) -> std::string
{
    auto searched = partial_.size();
    partial_ += bytes;
    const std::string_view text = partial_;
    std::size_t whole = 0;
    for (auto lineEnd = text.find('\n', searched); lineEnd != std::string_view::npos;
         lineEnd = text.find('\n', searched)) {
        searched = lineEnd + 1;
        const auto event = text.substr(whole, searched - whole);
        if (!endsEvent(event))
            continue;
        noteEvent(event);
        whole = searched;
    }
    if (whole == 0)
        return {};
    auto rest = partial_.substr(whole); // Takes no more memory than it needs.
    partial_.resize(whole);
    return std::exchange(partial_, std::move(rest));
}

auto EventSplitter::noteEvent(std::string_view event) -> void
{
    ++events_;
    const auto id = idOf(event);
    if (id.empty())
        return;
    const auto number = numberOf(id);
    if (number && lastNumber_ && *number <= *lastNumber_)
        inOrder_ = false;
    if (number)
        lastNumber_ = number;
    lastId_ = id;
}

} // namespace applehatch::gateway
