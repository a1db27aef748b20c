#include "applehatch/experiment/caller.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace applehatch::experiment {

namespace {

/// An answer that never ends must fail a test, not hang it.
constexpr auto longestAnswer = 4 * patience;

auto lower(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

auto field(const std::string &line, const std::string &name) -> std::optional<std::string>
{
    if (!line.starts_with(name + ":")) {
        return std::nullopt;
    }
    const auto at = name.size() + 1;
    return line.substr(at < line.size() && line[at] == ' ' ? at + 1 : at);
}

auto requestBytes(const core::Address &router, const CallerRequest &request) -> std::string
{
    std::ostringstream text;
    text << request.method << ' ' << request.path << " HTTP/1.1\r\nHost: " << router.ip << ':'
         << router.port << "\r\nConnection: close\r\n";
    for (const auto &[name, value] : request.headers) {
        text << name << ": " << value << "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text << "Content-Length: " << request.body.size() << "\r\n";
    }
    text << "\r\n" << request.body;
    return text.str();
}

auto parseEvent(const std::string &block) -> ServerEvent
{
    ServerEvent event;
    std::istringstream lines(block);
    std::string line;
    while (std::getline(lines, line)) {
        if (const auto id = field(line, "id")) {
            event.id = *id;
        } else if (const auto name = field(line, "event")) {
            event.name = *name;
        } else if (const auto data = field(line, "data")) {
            event.data += event.data.empty() ? *data : "\n" + *data;
        }
    }
    return event;
}

} // namespace

auto CallerAnswer::header(const std::string &name) const -> std::string
{
    const auto wanted = lower(name);
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &entry) {
        return lower(entry.first) == wanted;
    });
    return found == headers.end() ? "" : found->second;
}

auto CallerAnswer::events() const -> std::vector<ServerEvent>
{
    std::vector<ServerEvent> list;
    std::size_t start = 0;
    for (auto end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", start)) {
        list.push_back(parseEvent(body.substr(start, end - start)));
        start = end + 2;
    }
    return list;
}

auto CallerAnswer::streamData() const -> std::string
{
    std::string text;
    for (const auto &event : events()) {
        if (event.name.empty() && !event.data.empty()) {
            text += "data: " + event.data + "\n\n";
        }
    }
    return text;
}

auto CallerAnswer::lastEventId() const -> std::string
{
    const auto list = events();
    const auto last = std::find_if(list.rbegin(), list.rend(),
                                   [](const ServerEvent &event) { return !event.id.empty(); });
    return last == list.rend() ? "" : last->id;
}

auto CallerAnswer::problem() const -> nlohmann::json
{
    auto text = header("Content-Type").starts_with("application/problem+json") ? body : "";
    for (const auto &event : events()) {
        if (event.name == "error") {
            text = event.data;
        }
    }
    const auto document = nlohmann::json::parse(text, nullptr, false);
    return document.is_object() ? document : nlohmann::json();
}

auto CallerAnswer::problemKind() const -> std::string
{
    const auto document = problem();
    return document.is_object() ? document.value("kind", std::string()) : "";
}

CallerConnection::CallerConnection(const core::Address &router, const CallerRequest &request)
    : CallerConnection(router, requestBytes(router, request))
{ }

CallerConnection::CallerConnection(const core::Address &router, std::string_view bytes)
    : socket_(Socket::connect(router))
{
    if (socket_.valid()) {
        (void)socket_.sendAll(bytes);
    }
}

auto CallerConnection::read(const std::function<bool(const CallerAnswer &)> &enough,
                            milliseconds limit) -> CallerAnswer &
{
    const auto until = Clock::now() + longestAnswer;
    while (socket_.valid() && !answer_.framed && !(enough && enough(answer_))
           && Clock::now() < until) {
        const auto data = socket_.receive(limit);
        if (!data || data->empty()) {
            break;
        }
        take(*data);
    }
    return answer_;
}

auto CallerConnection::take(const std::string &data) -> void
{
    raw_ += data;
    if (!headRead_ && !takeHead()) {
        return;
    }
    if (chunked_) {
        takeChunks();
        return;
    }
    answer_.body += raw_;
    raw_.clear();
    answer_.framed = length_ && answer_.body.size() >= *length_;
}

auto CallerConnection::takeHead() -> bool
{
    const auto end = raw_.find("\r\n\r\n");
    if (end == std::string::npos) {
        return false;
    }
    std::istringstream lines(raw_.substr(0, end + 2));
    raw_.erase(0, end + 4);
    std::string version;
    std::string line;
    lines >> version >> answer_.status;
    std::getline(lines, line);
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        if (colon != std::string::npos && line.size() >= colon + 3) {
            answer_.headers.emplace_back(line.substr(0, colon),
                                         line.substr(colon + 2, line.size() - colon - 3));
        }
    }
    answer_.toFirstByte = std::chrono::duration_cast<milliseconds>(Clock::now() - start_);
    chunked_ = lower(answer_.header("Transfer-Encoding")) == "chunked";
    if (const auto length = answer_.header("Content-Length"); !length.empty()) {
        length_ = std::stoul(length);
    }
    headRead_ = true;
    return true;
}

auto CallerConnection::takeChunks() -> void
{
    while (!answer_.framed) {
        const auto end = raw_.find("\r\n");
        if (end == std::string::npos) {
            return;
        }
        const auto size = std::stoul(raw_.substr(0, end), nullptr, 16);
        if (raw_.size() < end + 2 + size + 2) {
            return;
        }
        answer_.body += raw_.substr(end + 2, size);
        raw_.erase(0, end + 2 + size + 2);
        answer_.framed = size == 0;
    }
}

auto call(const core::Address &router, const CallerRequest &request, milliseconds limit)
    -> CallerAnswer
{
    CallerConnection connection(router, request);
    return connection.read({}, limit);
}

auto get(const core::Address &server, const std::string &path, milliseconds limit) -> CallerAnswer
{
    return call(server, {"GET", path, {}, {}}, limit);
}

auto streamIsWhole(const std::string &stream) -> bool
{
    return stream.ends_with("data: [DONE]\n\n");
}

} // namespace applehatch::experiment
