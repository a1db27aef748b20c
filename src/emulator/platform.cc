#include "applehatch/emulator/platform.h"

#include "applehatch/emulator/tree.h"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <stop_token>
#include <thread>

namespace applehatch::emulator {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr std::size_t serviceCount = 3;
constexpr std::uint32_t defaultWeightRate = 100;
constexpr auto *workerThreads = "128";
constexpr std::chrono::seconds longestWait{600};

struct Answer
{
    int status = 200;
    std::string headers;
    std::string body;
};

auto send(mg_connection *connection, const Answer &answer) -> void
{
    auto text = "HTTP/1.1 " + std::to_string(answer.status) + " -\r\n" + answer.headers;
    text += "Content-Type: application/json\r\nConnection: close\r\n";
    text += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
    mg_write(connection, text.data(), text.size());
}

auto queryValue(const mg_connection *connection, const char *name) -> std::string
{
    const auto *query = mg_get_request_info(connection)->query_string;
    std::array<char, 64> value{};
    const auto length = query == nullptr
        ? -1
        : mg_get_var(query, std::strlen(query), name, value.data(), value.size());
    return length < 0 ? std::string() : std::string(value.data());
}

auto numberOf(const std::string &text) -> std::uint64_t
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

auto entityTagHeld(const mg_connection *connection) -> std::string
{
    const auto *held = mg_get_header(connection, "If-None-Match");
    return held == nullptr ? "" : held;
}

auto entityTag(std::uint64_t version) -> std::string
{
    return '"' + std::to_string(version) + '"';
}

auto readBody(mg_connection *connection) -> std::string
{
    std::string body;
    std::array<char, 4096> buffer{};
    auto count = mg_read(connection, buffer.data(), buffer.size());
    while (count > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(count));
        count = mg_read(connection, buffer.data(), buffer.size());
    }
    return body;
}

struct StopServer
{
    auto operator()(mg_context *server) const -> void { mg_stop(server); }
};

} // namespace

/// One lock guards everything; waiting calls sleep on `changed`.
struct Platform::State
{
    core::Address address;
    mutable std::mutex lock;
    std::condition_variable changed;
    bool stopping = false;
    Tree tree;
    std::optional<core::SettingsIndex> stale;
    std::array<bool, serviceCount> down{};
    std::array<std::optional<std::string>, serviceCount> raw;
    bool rawSilent = false;
    std::chrono::microseconds delay{0};
    std::map<std::string, core::HostState> hosts;
    std::uint64_t hostVersion = 1;
    std::uint32_t weightRate = defaultWeightRate;
    std::deque<Clock::time_point> weightReads;
    std::string directory;
    PlatformCalls calls;
    std::unique_ptr<mg_context, StopServer> server; ///< Last, so that it stops first.

    using Maker = std::function<std::optional<Answer>(std::unique_lock<std::mutex> &)>;

    /// Answers one call by `make`; nothing is sent while the service is down.
    auto serve(mg_connection *connection, Service service, const Maker &make) -> int
    {
        std::unique_lock held(lock);
        const auto at = static_cast<std::size_t>(service);
        const auto unfit = [&] { return stopping || down.at(at); };
        if (delay.count() > 0) {
            changed.wait_for(held, delay, unfit);
        }
        if (unfit()) {
            return mgHandled(connection);
        }
        if (raw.at(at)) {
            const auto bytes = *raw.at(at);
            const auto silent = rawSilent;
            held.unlock();
            mg_write(connection, bytes.data(), bytes.size());
            held.lock();
            changed.wait(held, [&] { return !silent || unfit() || !raw.at(at); });
            return mgHandled(connection);
        }
        const auto answer = make(held);
        const auto silent = unfit() || !answer;
        held.unlock();
        if (!silent) {
            send(connection, *answer);
        }
        return mgHandled(connection);
    }

    /// Each call has its own connection, so that closing it is all that "down" takes.
    static auto mgHandled(mg_connection *connection) -> int
    {
        mg_disable_keep_alive(connection);
        return 1;
    }

    auto visible() const -> const Snapshot & { return stale ? tree.at(*stale) : tree.now(); }

    auto watch(std::unique_lock<std::mutex> &held, core::SettingsIndex after,
               std::chrono::seconds wait) -> void
    {
        ++calls.waiting;
        changed.wait_for(held, std::min(wait, longestWait),
                         [&] { return stopping || down.at(0) || visible().index > after; });
        --calls.waiting;
    }

    auto settings(mg_connection *connection) -> int
    {
        const auto after = queryValue(connection, "index");
        const auto wait = std::chrono::seconds(numberOf(queryValue(connection, "wait")));
        const auto tag = entityTagHeld(connection);
        return serve(connection, Service::Settings, [&](auto &held) -> std::optional<Answer> {
            ++calls.settings;
            if (!after.empty()) {
                watch(held, numberOf(after), wait);
            }
            const auto &snapshot = visible();
            const auto header = "X-Consul-Index: " + std::to_string(snapshot.index) + "\r\n";
            if (tag == entityTag(snapshot.index)) {
                ++calls.settingsUnchanged;
                return Answer{304, header, ""};
            }
            return Answer{snapshot.teams.empty() ? 404 : 200, header, snapshotJson(snapshot)};
        });
    }

    auto hostList(mg_connection *connection) -> int
    {
        const auto tag = entityTagHeld(connection);
        return serve(connection, Service::HostList, [this, tag](auto &) -> std::optional<Answer> {
            ++calls.hostList;
            if (tag == entityTag(hostVersion)) {
                ++calls.hostListUnchanged;
                return Answer{304, "", ""};
            }
            auto list = Json::array();
            for (const auto &[ip, state] : hosts) {
                list.push_back(
                    {{"ip", ip}, {"state", state == core::HostState::Live ? "live" : "leaving"}});
            }
            return Answer{200, "", Json{{"version", hostVersion}, {"hosts", list}}.dump()};
        });
    }

    auto weights(mg_connection *connection) -> int
    {
        return serve(connection, Service::Weights, [this](auto &) -> std::optional<Answer> {
            const auto now = Clock::now();
            while (!weightReads.empty() && now - weightReads.front() > std::chrono::seconds(1)) {
                weightReads.pop_front();
            }
            if (weightReads.size() >= weightRate) {
                ++calls.weightsRefused;
                return Answer{429, "Retry-After: 1\r\n", "{}"};
            }
            weightReads.push_back(now);
            ++calls.weights;
            return Answer{200, "", "{}"};
        });
    }
};

namespace {

/// The library looks for its stop flag only every two seconds or when a connection arrives.
auto wake(const core::Address &address) -> void
{
    std::array<char, 64> error{};
    auto *connection =
        mg_connect_client(address.ip.c_str(), address.port, 0, error.data(), error.size());
    mg_close_connection(connection);
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
}

auto hostState(const Json &value) -> core::HostState
{
    return value == "leaving" ? core::HostState::Leaving : core::HostState::Live;
}

auto setDownFrom(Platform &platform, const Json &names) -> void
{
    const auto named = [&names](const char *name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    platform.setDown(Service::Settings, named("settings"));
    platform.setDown(Service::HostList, named("hostList"));
    platform.setDown(Service::Weights, named("weights"));
}

using Setter = std::function<void(Platform &, const Json &)>;

/// What `POST /control` takes, by key.
auto setters() -> const std::map<std::string, Setter> &
{
    using Millis = std::chrono::milliseconds;
    static const std::map<std::string, Setter> table{
        {"putTeam",
         [](auto &to, const Json &value) {
             to.putTeam(value.at("team").get<std::string>(), value.at("text").get<std::string>());
         }},
        {"removeTeam",
         [](auto &to, const Json &value) { to.removeTeam(value.get<std::string>()); }},
        {"revertTo",
         [](auto &to, const Json &value) { to.revertTo(value.get<core::SettingsIndex>()); }},
        {"staleAt",
         [](auto &to, const Json &value) {
             to.setStale(value.is_null() ? std::nullopt
                                         : std::optional(value.get<core::SettingsIndex>()));
         }},
        {"down", [](auto &to, const Json &value) { setDownFrom(to, value); }},
        {"delayMs",
         [](auto &to, const Json &value) { to.setDelay(Millis(value.get<std::int64_t>())); }},
        {"setHost",
         [](auto &to, const Json &value) {
             to.setHost(value.at("ip").get<std::string>(), hostState(value.at("state")));
         }},
        {"removeHost",
         [](auto &to, const Json &value) { to.removeHost(value.get<std::string>()); }},
        {"weightsPerSecond",
         [](auto &to, const Json &value) { to.setWeightRate(value.get<std::uint32_t>()); }},
    };
    return table;
}

auto callsJson(const PlatformCalls &calls) -> std::string
{
    return Json{{"settings", calls.settings},
                {"hostList", calls.hostList},
                {"weights", calls.weights},
                {"weightsRefused", calls.weightsRefused},
                {"waiting", calls.waiting}}
        .dump();
}

} // namespace

Platform::Platform(const core::Address &at)
    : state_(std::make_unique<State>())
{
    const auto listen = at.ip + ':' + std::to_string(at.port);
    std::array<const char *, 5> options{"listening_ports", listen.c_str(), "num_threads",
                                        workerThreads, nullptr};
    state_->server.reset(mg_start(nullptr, nullptr, options.data()));
    if (!state_->server) {
        throw std::runtime_error("cannot listen at " + listen);
    }
    mg_server_port bound{};
    mg_get_server_ports(state_->server.get(), 1, &bound);
    state_->address = {at.ip, static_cast<std::uint16_t>(bound.port)};
    auto *server = state_->server.get();
    mg_set_request_handler(
        server, "/v1/kv/teams",
        [](mg_connection *connection, void *to) {
            return static_cast<State *>(to)->settings(connection);
        },
        state_.get());
    mg_set_request_handler(
        server, "/v1/hosts",
        [](mg_connection *connection, void *to) {
            return static_cast<State *>(to)->hostList(connection);
        },
        state_.get());
    mg_set_request_handler(
        server, "/v1/weights",
        [](mg_connection *connection, void *to) {
            return static_cast<State *>(to)->weights(connection);
        },
        state_.get());
    mg_set_request_handler(
        server, "/control",
        [](mg_connection *connection, void *to) { return control(connection, to); }, this);
}

auto Platform::control(mg_connection *connection, void *platform) -> int
{
    auto &self = *static_cast<Platform *>(platform);
    try {
        const auto body = readBody(connection);
        const auto orders = body.empty() ? Json::object() : Json::parse(body);
        for (const auto &[key, value] : orders.items()) {
            if (key == "reload") {
                self.loadDirectory(self.state_->directory);
            } else {
                setters().at(key)(self, value);
            }
        }
        send(connection, {200, "", callsJson(self.calls())});
    } catch (const std::exception &error) {
        send(connection, {400, "", Json{{"error", error.what()}}.dump()});
    }
    mg_disable_keep_alive(connection);
    return 1;
}

Platform::~Platform()
{
    {
        const std::lock_guard held(state_->lock);
        state_->stopping = true;
    }
    state_->changed.notify_all();
    const auto address = state_->address;
    const std::jthread waker([&address](const std::stop_token &done) {
        while (!done.stop_requested()) {
            wake(address);
        }
    });
    state_->server.reset();
}

auto Platform::address() const -> core::Address
{
    return state_->address;
}

auto Platform::calls() const -> PlatformCalls
{
    const std::lock_guard held(state_->lock);
    return state_->calls;
}

template <typename Change>
auto Platform::change(Change apply) -> void
{
    {
        const std::lock_guard held(state_->lock);
        apply(*state_);
    }
    state_->changed.notify_all();
}

auto Platform::putTeam(const std::string &team, const std::string &text) -> core::SettingsIndex
{
    core::SettingsIndex index = 0;
    change([&](State &state) { index = state.tree.put(team, text); });
    return index;
}

auto Platform::removeTeam(const std::string &team) -> core::SettingsIndex
{
    core::SettingsIndex index = 0;
    change([&](State &state) { index = state.tree.remove(team); });
    return index;
}

auto Platform::revertTo(core::SettingsIndex index) -> void
{
    change([&](State &state) { state.tree.revertTo(index); });
}

auto Platform::setStale(std::optional<core::SettingsIndex> index) -> void
{
    change([&](State &state) { state.stale = index; });
}

auto Platform::setDown(Service service, bool down) -> void
{
    change([&](State &state) { state.down.at(static_cast<std::size_t>(service)) = down; });
}

auto Platform::setDelay(core::Duration delay) -> void
{
    change([&](State &state) { state.delay = delay; });
}

auto Platform::setRawAnswer(Service service, std::optional<std::string> bytes, bool thenSilent)
    -> void
{
    change([&](State &state) {
        state.raw.at(static_cast<std::size_t>(service)) = std::move(bytes);
        state.rawSilent = thenSilent;
    });
}

auto Platform::setHost(const std::string &ip, core::HostState host) -> void
{
    change([&](State &state) {
        state.hosts[ip] = host;
        ++state.hostVersion;
    });
}

auto Platform::removeHost(const std::string &ip) -> void
{
    change([&](State &state) {
        state.hosts.erase(ip);
        ++state.hostVersion;
    });
}

auto Platform::setWeightRate(std::uint32_t perSecond) -> void
{
    change([&](State &state) { state.weightRate = perSecond; });
}

auto Platform::loadDirectory(const std::string &directory) -> std::size_t
{
    std::size_t changes = 0;
    change([&](State &state) { state.directory = directory; });
    if (directory.empty()) {
        return 0;
    }
    for (const auto &file : std::filesystem::directory_iterator(directory)) {
        if (file.path().extension() != ".jsonc") {
            continue;
        }
        std::ostringstream text;
        text << std::ifstream(file.path()).rdbuf();
        const auto team = file.path().stem().string();
        change([&](State &state) {
            const auto held = state.tree.now().teams.find(team);
            if (held == state.tree.now().teams.end() || *held->second.text != text.str()) {
                state.tree.put(team, text.str());
                ++changes;
            }
        });
    }
    return changes;
}

} // namespace applehatch::emulator
