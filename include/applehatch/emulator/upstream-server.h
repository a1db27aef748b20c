/// What the stand-ins for upstreams share: an HTTP server, fault orders and a record of runs.
#pragma once

#include "applehatch/core/identity.h"

#include <civetweb.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::emulator {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Status with which a process ends that was told to crash.
inline constexpr int crashStatus = 42;

/// One call as a stand-in sees it.
struct HttpRequest
{
    mg_connection *connection = nullptr;
    std::string method;
    std::string path; ///< Without the query.
    std::string query;
    std::string body;
    bool bodyWhole = true; ///< False when the caller closed before sending all of it.

    /// The header's value; empty when absent.
    [[nodiscard]] auto header(const char *name) const -> std::string;
    [[nodiscard]] auto queryNumber(const char *name) const -> std::uint64_t;
};

/// Sends a whole answer and closes.
auto answer(const HttpRequest &request, int status, std::string_view type, std::string_view body)
    -> void;
auto answerJson(const HttpRequest &request, int status, const nlohmann::json &body) -> void;

/// A CivetWeb server with one handler for every path.
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &)>;

    /// Port 0 picks a free one. Throws `std::runtime_error` when the address cannot be bound.
    HttpServer(const core::Address &listen, int threads, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    auto operator=(const HttpServer &) -> HttpServer & = delete;

    [[nodiscard]] auto address() const -> const core::Address & { return address_; }

private:
    static auto handle(mg_connection *connection, void *self) -> int;

    Handler handler_;
    core::Address address_;
    mg_context *context_ = nullptr;
};

/// Orders to misbehave, given over `POST /control`; an absent key leaves its order as it was.
struct Faults
{
    std::string crashMarker;         ///< A body that contains this ends the process.
    milliseconds crashAfter{0};      ///< Since the run began.
    bool frozen = false;             ///< Nothing is answered, as by a stopped process.
    bool silent = false;             ///< Calls are accepted and never answered; the state still is.
    std::int64_t silentAfter = -1;   ///< Tokens after which a stream stops for good; -1 never.
    std::int64_t endEarlyAfter = -1; ///< Tokens after which an answer is closed; -1 never.
    double slowdown = 1.0;           ///< Multiplies every pause.
};

/// One run as the upstream itself saw it.
struct RunRecord
{
    std::string request;
    std::string chat;
    std::string key;
    std::string customer;
    std::uint64_t bodyHash = 0;
    Clock::time_point start;
    std::optional<Clock::time_point> end;
    bool warm = false;
    std::uint32_t running = 0;       ///< Including itself, when it started.
    std::string outcome = "running"; ///< Or `whole`, `cancelled`, `ended-early`, `abandoned`.
};

/// Faults and runs, shared by the threads of one stand-in. Thread-safe.
class UpstreamRecord
{
public:
    /// With `logPath`, each start and end is also appended to that file, so that a run is known
    /// after the process crashed.
    explicit UpstreamRecord(std::string logPath);

    /// Waits while frozen; false when the stand-in stops meanwhile.
    [[nodiscard]] auto pass() -> bool;
    [[nodiscard]] auto faults() const -> Faults;
    auto control(const nlohmann::json &orders) -> void;
    auto stop() -> void;
    [[nodiscard]] auto stopping() const -> bool;

    /// Waits for `pause` times the slowdown, and while frozen; false when the stand-in stops.
    [[nodiscard]] auto sleep(Clock::duration pause) -> bool;

    /// Ends the process when `body` holds the crash marker.
    auto crashIfMarked(const std::string &body) -> void;

    /// Counts a run in and gives its number.
    [[nodiscard]] auto begin(RunRecord run) -> std::size_t;
    auto finish(std::size_t number, const std::string &outcome) -> void;
    [[nodiscard]] auto running() const -> std::uint32_t;

    /// Adds a line with the present time to the log, such as for a change of the cache.
    auto note(nlohmann::json line) const -> void;

    /// `{"highWater", "running", "runs": [...], "load": [{"atMs", "running"}]}`.
    [[nodiscard]] auto runsAsJson() const -> nlohmann::json;

    /// Serves `/control` and below; false for another path.
    [[nodiscard]] auto serveControl(const HttpRequest &request) -> bool;

private:
    auto append(const nlohmann::json &line) const -> void;
    auto sampleLoad() -> void;

    std::string logPath_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Faults faults_;
    bool stopping_ = false;
    std::uint32_t running_ = 0;
    std::uint32_t highWater_ = 0;
    std::vector<RunRecord> runs_;
    std::vector<std::pair<Clock::time_point, std::uint32_t>> load_;
};

/// Milliseconds of the machine's steady clock, comparable between its processes.
[[nodiscard]] auto clockMs(Clock::time_point time) -> std::int64_t;

/// 16 hexadecimal digits.
[[nodiscard]] auto hex(std::uint64_t value) -> std::string;

} // namespace applehatch::emulator
