#include "store.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace review {

using Json = nlohmann::json;

namespace {

// Items of one page of a range.
constexpr std::size_t pageItems = 500;
constexpr std::size_t pageBytes = 1000000;
constexpr auto tick = std::chrono::milliseconds(100);

auto base64(const std::string &bytes) -> std::string
{
    constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            const auto byte = at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0;
            group = group << 8U | byte;
        }
        for (std::size_t i = 0; i < 4; ++i) {
            const auto isPadding = at + i > bytes.size();
            out += isPadding ? '=' : digits[group >> (18 - 6 * i) & 63U];
        }
    }
    return out;
}

auto decoded(const std::string &text) -> std::string
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

auto parametersOf(const std::string &target) -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> parameters;
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto end = target.find('&', at + 1);
        const auto pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        const auto equals = pair.find('=');
        parameters[pair.substr(0, equals)] = decoded(pair.substr(equals + 1));
        at = end;
    }
    return parameters;
}

auto numberIn(const std::string &text) -> std::uint64_t
{
    return text.empty() ? 0 : std::stoull(text);
}

} // namespace

Store::Store(const std::string &ip)
    : address_{ip, 0}
    , listener_(listenAt(address_))
    , acceptor_([this] { accept(); })
{ }

Store::~Store()
{
    stopping_ = true;
    changed_.notify_all();
    acceptor_.join();
    while (serving_ > 0)
        std::this_thread::sleep_for(Milliseconds(5));
}

auto Store::put(const std::string &key, const std::string &value) -> void
{
    const std::lock_guard lock(mutex_);
    auto &item = items_[key];
    item.value = value;
    item.revision = ++revision_;
    if (item.created == 0)
        item.created = item.revision;
    events_.push_back({key, item, false});
    changed_.notify_all();
}

auto Store::remove(const std::string &key) -> void
{
    const std::lock_guard lock(mutex_);
    if (items_.erase(key) == 0)
        return;
    Item removed;
    removed.revision = ++revision_;
    events_.push_back({key, removed, true});
    changed_.notify_all();
}

auto Store::accept() -> void
{
    while (!stopping_) {
        auto socket = acceptFrom(listener_, Clock::now() + tick);
        if (!socket.isOpen())
            continue;
        ++serving_;
        std::thread([this, taken = std::make_shared<Socket>(std::move(socket))] {
            serve(*taken);
            --serving_;
        }).detach();
    }
}

auto Store::serve(Socket &socket) -> void
{
    std::string buffer;
    while (!stopping_) {
        const auto request = readRequest(socket, buffer, Clock::now() + tick);
        if (!request && !socket.isOpenForReading())
            return;
        if (!request)
            continue;
        const auto [status, body] = answer(request->target);
        const auto head = "HTTP/1.1 " + std::to_string(status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n";
        if (!socket.send(head + body, Clock::now() + std::chrono::seconds(2)))
            return;
    }
}

auto Store::answer(const std::string &target) -> std::pair<int, std::string>
{
    auto parameters = parametersOf(target);
    const auto prefix = parameters["path-prefix"];
    if (target.starts_with("/v1/kv-range"))
        return {200, range(prefix, parameters["after"])};
    if (target.starts_with("/v1/kv-watch"))
        return {200,
                watch(prefix, numberIn(parameters["after"]),
                      Milliseconds(numberIn(parameters["wait-ms"])))};
    return {404, "{}"};
}

auto Store::range(const std::string &prefix, const std::string &after) -> std::string
{
    const std::lock_guard lock(mutex_);
    auto entries = Json::array();
    auto at = after.empty() ? items_.lower_bound(prefix) : items_.upper_bound(after);
    const auto isIn = [&] { return at != items_.end() && at->first.starts_with(prefix); };
    std::size_t bytes = 0;
    for (; isIn() && entries.size() < pageItems && bytes < pageBytes; ++at) {
        entries.push_back({{"key", at->first},
                           {"value", base64(at->second.value)},
                           {"revision", at->second.revision},
                           {"created", at->second.created},
                           {"lease", 0}});
        bytes += at->second.value.size();
    }
    return Json{{"entries", entries}, {"has-more", isIn()}, {"current-rev", revision_}}.dump();
}

auto Store::watch(const std::string &prefix, std::uint64_t after, Milliseconds wait) -> std::string
{
    std::unique_lock lock(mutex_);
    auto events = Json::array();
    const auto collect = [&] {
        for (const auto &event : events_) {
            if (event.item.revision <= after || !event.key.starts_with(prefix))
                continue;
            Json json{{"key", event.key}, {"revision", event.item.revision}};
            if (event.removed) {
                json["removed"] = true;
            } else {
                json["value"] = base64(event.item.value);
                json["created"] = event.item.created;
                json["lease"] = 0;
            }
            events.push_back(std::move(json));
        }
        return !events.empty() || stopping_;
    };
    changed_.wait_for(lock, wait, collect);
    return Json{{"events", events}, {"current-rev", revision_}}.dump();
}

} // namespace review
