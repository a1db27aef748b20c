#include "measures-sampling.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace applehatch::experiment {

namespace {

using nlohmann::json;

constexpr std::int64_t samplePeriodMs = 50;
constexpr double roundingError = 1e-9;

/// When each chat's context was on one engine.
class Contexts
{
public:
    explicit Contexts(const std::vector<EngineEvent> &events)
    {
        for (const auto &event : events) {
            if (event.operation == "life") {
                lostMs_.push_back(event.atMs);
            } else if (event.operation == "stored" || event.operation == "evicted") {
                changes_[event.chat].emplace_back(event.atMs, event.operation == "stored");
            }
        }
    }

    [[nodiscard]] auto holds(const std::string &chat, std::int64_t atMs) const -> bool
    {
        const auto found = changes_.find(chat);
        if (found == changes_.end()) {
            return false;
        }
        auto held = false;
        std::int64_t sinceMs = 0;
        for (const auto &[changeMs, stored] : found->second) {
            if (changeMs <= atMs) {
                held = stored;
                sinceMs = changeMs;
            }
        }
        return held && std::none_of(lostMs_.begin(), lostMs_.end(), [&](std::int64_t lostMs) {
                   return sinceMs < lostMs && lostMs <= atMs;
               });
    }

private:
    std::vector<std::int64_t> lostMs_; ///< Starts of a new life.
    std::map<std::string, std::vector<std::pair<std::int64_t, bool>>> changes_;
};

/// Names of the live engines that held the chat's context, each after a space.
auto holdersOf(const std::map<std::string, Contexts> &contexts, const LiveSpans &live,
               const std::string &chat, std::int64_t atMs) -> std::string
{
    std::string holders;
    for (const auto &[engine, held] : contexts) {
        if (isLive(live.at(engine), atMs) && held.holds(chat, atMs)) {
            holders += ' ' + engine;
        }
    }
    return holders;
}

/// Chat keys as the engines know them, by the chat's name.
auto chatKeys(const EngineEvents &events, const std::vector<Turn> &turns)
    -> std::map<std::string, std::string>
{
    std::map<std::string, std::string> keyOfBody;
    for (const auto &[engine, list] : events) {
        for (const auto &event : list) {
            if (event.operation == "start") {
                keyOfBody[event.bodyHash] = event.chat;
            }
        }
    }
    std::map<std::string, std::string> keys;
    for (const auto &turn : turns) {
        if (const auto found = keyOfBody.find(turn.bodyHash); found != keyOfBody.end()) {
            keys[turn.chat] = found->second;
        }
    }
    return keys;
}

struct LoadSample
{
    std::vector<int> running; ///< Of each live engine.

    [[nodiscard]] auto total() const -> int
    {
        int sum = 0;
        for (const auto load : running) {
            sum += load;
        }
        return sum;
    }
};

auto addSample(const LoadSample &sample, double multiple, Skew &skew, std::vector<double> &ratios)
    -> void
{
    const auto total = sample.total();
    if (total == 0) {
        return;
    }
    // All engines of a run have the same slots, so that the mean of each is that of its slots.
    const auto mean = static_cast<double>(total) / static_cast<double>(sample.running.size());
    const auto busiest = *std::max_element(sample.running.begin(), sample.running.end());
    const auto bound = std::max(1.0, std::ceil(multiple * mean - roundingError));
    ++skew.samples;
    ratios.push_back(busiest / mean);
    skew.overRaw += busiest > multiple * mean + roundingError ? 1 : 0;
    skew.overRounded += busiest > bound ? 1 : 0;
    skew.meanRunning += total;
}

/// Bytes that one read takes on the wire, request and answer.
auto bytesOfRead(const core::Address &server, const std::string &path) -> double
{
    constexpr std::size_t requestAndStatus = 120;
    const auto answer = get(server, path);
    auto bytes = requestAndStatus + path.size() + answer.body.size();
    for (const auto &[name, value] : answer.headers) {
        bytes += name.size() + value.size() + 4;
    }
    return static_cast<double>(bytes);
}

/// Bytes of reads of one service: what is unchanged is answered by its head alone.
auto bytesOfReads(std::uint64_t calls, std::uint64_t unchanged, double wholeRead) -> double
{
    constexpr double entityTagHeader = 20;
    constexpr double bareAnswer = 190; // Request, status line and headers without a body.
    const auto bare = static_cast<double>(unchanged);
    return (static_cast<double>(calls) - bare) * wholeRead + bare * (bareAnswer + entityTagHeader);
}

auto hostListBytes(const emulator::PlatformCalls &calls, double wholeRead) -> double
{
    return bytesOfReads(calls.hostList, calls.hostListUnchanged, wholeRead);
}

auto label(const std::string &line, const std::string &name) -> std::string
{
    const auto start = line.find(name + "=\"");
    if (start == std::string::npos) {
        return {};
    }
    const auto from = start + name.size() + 2;
    return line.substr(from, line.find('"', from) - from);
}

auto readProcess(const core::Address &admin) -> std::map<std::string, double>
{
    constexpr double datagramHeaders = 28;
    std::map<std::string, double> kinds;
    std::istringstream lines(get(admin, "/metrics").body);
    std::string line;
    while (std::getline(lines, line)) {
        if (label(line, "class") != "control") {
            continue;
        }
        const auto kind = label(line, "kind");
        const auto value = std::strtod(line.c_str() + line.rfind(' '), nullptr);
        if (line.starts_with("applehatch_traffic_bytes_total")) {
            kinds[kind] += value;
        } else if (kind == "digest" && line.starts_with("applehatch_traffic_messages_total")) {
            kinds[kind] += value * datagramHeaders;
        }
    }
    return kinds;
}

/// Calls of the platform's services, as bytes of each process that calls them.
auto addReads(Fleet &fleet, ControlBytes &bytes) -> void
{
    const auto hostRead = bytesOfRead(fleet.platform().address(), "/v1/hosts");
    const auto settingsRead = bytesOfRead(fleet.platform().address(), "/v1/kv/teams/?recurse=true");
    const auto calls = fleet.platform().calls();
    const auto sidecars = static_cast<double>(fleet.members().size());
    const auto all = sidecars + static_cast<double>(fleet.routers().size());
    for (auto &[name, kinds] : bytes) {
        kinds["settings-read"] =
            bytesOfReads(calls.settings, calls.settingsUnchanged, settingsRead) / all;
        if (name.starts_with("sidecar")) {
            kinds["host-list-read"] = hostListBytes(calls, hostRead) / sidecars;
        }
    }
    for (auto &router : fleet.routers()) {
        if (const auto found = bytes.find(router.name); found != bytes.end()) {
            found->second["host-list-read"] = hostListBytes(router.hostList->calls(), hostRead);
        }
    }
}

} // namespace

auto LoadCursor::advance(const std::vector<EngineEvent> &events, std::int64_t atMs) -> int
{
    for (; next_ < events.size() && events[next_].atMs <= atMs; ++next_) {
        const auto &operation = events[next_].operation;
        if (operation == "life") {
            running_ = 0;
        } else if (operation == "start") {
            ++running_;
        } else if (operation == "end") {
            --running_;
        }
    }
    return running_;
}

auto isLive(const std::vector<LiveSpan> &spans, std::int64_t atMs) -> bool
{
    return std::any_of(spans.begin(), spans.end(), [atMs](const LiveSpan &span) {
        return span.fromMs <= atMs && atMs < span.untilMs;
    });
}

auto Reuse::ofPossible() const -> double
{
    return possible == 0 ? 0 : static_cast<double>(found) / static_cast<double>(possible);
}

auto Reuse::ofReturns() const -> double
{
    return returns == 0 ? 0 : static_cast<double>(found) / static_cast<double>(returns);
}

auto readEvents(Fleet &fleet) -> EngineEvents
{
    EngineEvents events;
    for (const auto &member : fleet.members()) {
        if (member.pool != Fleet::enginePool) {
            continue;
        }
        auto &list = events[member.name];
        std::istringstream lines(member.runLog->read());
        std::string line;
        while (std::getline(lines, line)) {
            const auto entry = json::parse(line);
            list.push_back({entry.at("atMs"), entry.at("op"), entry.value("chat", ""),
                            entry.value("bodyHash", "")});
        }
    }
    return events;
}

auto measureReuse(const EngineEvents &events, const LiveSpans &live, const std::vector<Turn> &turns)
    -> Reuse
{
    std::map<std::string, Contexts> contexts;
    for (const auto &[engine, list] : events) {
        contexts.emplace(engine, Contexts(list));
    }
    const auto keys = chatKeys(events, turns);
    Reuse reuse;
    for (const auto &turn : turns) {
        reuse.refusals += static_cast<std::size_t>(turn.refusals);
        reuse.unanswered += turn.answered ? 0 : 1;
        if (!turn.isReturn || !turn.answered) {
            continue;
        }
        ++reuse.returns;
        reuse.firstByteMs.push_back(static_cast<double>(turn.toFirstByte.count()));
        const auto holders = holdersOf(contexts, live, keys.at(turn.chat), turn.sentMs);
        const auto existed = !holders.empty();
        if (existed && !turn.warm) {
            reuse.misses.push_back(turn.request + holders);
        }
        // A context may be found that came back, or moved, while the request was under way.
        reuse.possible += existed || turn.warm ? 1 : 0;
        reuse.found += turn.warm ? 1 : 0;
    }
    return reuse;
}

auto measureSkew(const EngineEvents &events, const LiveSpans &live, const Window &window,
                 const Deployment &deployment) -> Skew
{
    const double multiple = deployment.pool.at("loadMultiple");
    std::map<std::string, LoadCursor> cursors;
    std::vector<double> ratios;
    Skew skew;
    for (auto atMs = window.fromMs; atMs < window.untilMs; atMs += samplePeriodMs) {
        LoadSample sample;
        for (const auto &[engine, list] : events) {
            const auto running = cursors[engine].advance(list, atMs);
            if (isLive(live.at(engine), atMs)) {
                sample.running.push_back(running);
            }
        }
        addSample(sample, multiple, skew, ratios);
    }
    skew.worst = quantile(ratios, 1);
    skew.p99 = quantile(ratios, 0.99);
    skew.meanRunning /= static_cast<double>(std::max<std::size_t>(1, skew.samples));
    return skew;
}

auto readControl(Fleet &fleet) -> ControlBytes
{
    ControlBytes bytes;
    for (const auto &member : fleet.members()) {
        if (auto kinds = readProcess(member.admin); !kinds.empty()) {
            bytes["sidecar-" + member.name] = std::move(kinds);
        }
    }
    for (const auto &router : fleet.routers()) {
        if (auto kinds = readProcess(router.admin); !kinds.empty()) {
            bytes[router.name] = std::move(kinds);
        }
    }
    addReads(fleet, bytes);
    return bytes;
}

auto controlRates(const ControlBytes &before, const ControlBytes &after, milliseconds between)
    -> ControlRates
{
    const auto seconds = std::chrono::duration<double>(between).count();
    std::map<std::string, std::map<std::string, std::vector<double>>> rates;
    for (const auto &[name, kinds] : after) {
        const auto earlier = before.find(name);
        const auto restarted =
            earlier != before.end()
            && std::any_of(kinds.begin(), kinds.end(), [&](const auto &kind) {
                   const auto held = earlier->second.find(kind.first);
                   return held != earlier->second.end() && held->second > kind.second;
               });
        if (earlier == before.end() || restarted) {
            continue;
        }
        auto &role = rates[name.substr(0, name.find('-'))];
        double total = 0;
        for (const auto &[kind, count] : kinds) {
            const auto held = earlier->second.find(kind);
            const auto rate =
                (count - (held == earlier->second.end() ? 0 : held->second)) / seconds;
            role[kind].push_back(rate);
            total += rate;
        }
        role["total"].push_back(total);
    }
    ControlRates result;
    for (const auto &[role, kinds] : rates) {
        for (const auto &[kind, values] : kinds) {
            result[role][kind] = {quantile(values, 0.5), quantile(values, 1)};
        }
    }
    return result;
}

auto quantile(std::vector<double> values, double share) -> double
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::llround(last * share))];
}

} // namespace applehatch::experiment
