#include "applehatch/gateway/event-splitter.h"

#include <charconv>

namespace applehatch::gateway {

namespace {

// End of the first event in `text`; npos if the event is incomplete.
auto eventEnd(std::string_view text) -> std::size_t
{
    constexpr std::string_view plain = "\n\n";
    constexpr std::string_view withReturns = "\r\n\r\n";
    const auto first = text.find(plain);
    const auto second = text.find(withReturns);
    if (first == std::string_view::npos && second == std::string_view::npos)
        return std::string_view::npos;
    return second < first ? second + withReturns.size() : first + plain.size();
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
    partial_ += bytes;
    std::string_view rest = partial_;
    std::size_t whole = 0;
    for (auto end = eventEnd(rest); end != std::string_view::npos; end = eventEnd(rest)) {
        noteEvent(rest.substr(0, end));
        rest.remove_prefix(end);
        whole += end;
    }
    auto events = partial_.substr(0, whole);
    partial_.erase(0, whole);
    return events;
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
