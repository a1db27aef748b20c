/// Stand-ins for what surrounds the gateways of a small deployment: the platform's store, engines
/// and plain services, requesters; and the gateways themselves as processes of their own.
#pragma once

#include "net.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <memory>

namespace review {

using Json = nlohmann::json;

/// Writes a line with the time to `record.txt` of the case and to standard output.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(path)
    { }
    auto add(const std::string &line) -> void;

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// Free loopback addresses that differ from one run to the next: `ip(n)` is host `n`.
class Hosts
{
public:
    Hosts();
    auto ip(int host) const -> std::string;
    /// A port that is free on all of the first `count` hosts.
    auto freePort(int count) -> std::uint16_t;

private:
    int second_;
    int third_;
    std::uint16_t next_;
};

/// The platform's metadata store: range and watch calls; revisions; nothing is forgotten.
class Store
{
public:
    explicit Store(const std::string &ip);
    auto address() const -> Address { return server_.address(); }
    auto put(const std::string &key, const Json &value) -> std::uint64_t;
    auto remove(const std::string &key) -> std::uint64_t;

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };

    auto serve(Connection &connection) -> void;
    auto range(const std::string &prefix) -> Json;
    auto watch(const std::string &prefix, std::uint64_t after, double wait) -> Json;
    auto note(Json event) -> std::uint64_t;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Json> events_;
    std::uint64_t revision_ = 100;
    Server server_;
};

/// One run at an engine or a plain service.
struct Run
{
    std::string attempt;
    std::string engine;
    std::string target;
    std::string tenant;
    double from = 0;
};

/// What engines ran, all of them together.
class Runs
{
public:
    auto add(Run run) -> void;
    auto all() -> std::vector<Run>;
    auto of(const std::string &attempt) -> std::vector<Run>;

private:
    std::mutex mutex_;
    std::vector<Run> runs_;
};

/// An engine or a server of a plain service. It registers itself, takes one request at a time on a
/// channel, says of each answer whose it is, rejects what is meant for another instance, and
/// answers through `work`, which writes the whole answer.
class Engine
{
public:
    using Work = std::function<void(Connection &, const Message &)>;

    Engine(Store &store, Runs &runs, const Address &at, std::string id, std::string service,
           std::string zone, int slots, Work work);
    auto id() const -> std::string { return id_; }
    /// What the engine writes into the store.
    auto enter(const std::string &state = "ready") -> void;

private:
    auto serve(Connection &connection) -> void;

    Store &store_;
    Runs &runs_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    Work work_;
    std::atomic<int> seq_{0};
    Server server_;
};

/// The head of an engine's answer, with its proof and the id of the request.
auto answerHead(int status, const Message &request, const std::string &framing) -> std::string;

/// A gateway process, started with the command of the deploy file.
class Gateway
{
public:
    struct Place
    {
        std::string name;
        std::string ip;
        std::string zone;
    };

    /// `settings` is the whole file; the process gets it through `APPLEHATCH_SETTINGS`.
    Gateway(Place place, Json settings, std::string directory);
    ~Gateway();
    auto start() -> void;
    auto signal(int number) -> void;
    /// Whether the process has not ended yet.
    auto runs() -> bool;
    /// How it ended; empty while it runs.
    auto endText() const -> std::string { return end_; }
    auto front() const -> Address;
    auto ready() const -> Address;
    auto place() const -> const Place & { return place_; }
    auto pid() const -> pid_t { return pid_; }
    /// Lines of the process's log that hold `text`.
    auto logLines(const std::string &text) const -> std::vector<std::string>;

private:
    Place place_;
    Json settings_;
    std::string directory_;
    pid_t pid_ = -1;
    std::string end_;
};

/// Answers of `GET /v1/readyz`, as the platform asks it.
auto isReady(const Gateway &gateway) -> bool;

/// The settings of one edge machine, in the platform's format.
auto settingsOf(const Gateway::Place &place, const std::vector<std::string> &seeds,
                const Address &store, std::uint16_t frontPort, std::uint16_t peerPort) -> Json;

using Gateways = std::vector<std::unique_ptr<Gateway>>;

/// Starts a gateway in each of `zones` and waits until all are ready; none if they are not.
/// `change` may alter the settings of each.
auto startGateways(Hosts &hosts, const Store &store, const std::vector<std::string> &zones,
                   const std::function<void(Json &)> &change = {}) -> Gateways;

/// The platform's entry in front of the gateways of one zone: it asks each once a second whether it
/// is ready, and takes it out of rotation after two misses.
class Entry
{
public:
    explicit Entry(const Gateways &gateways);
    ~Entry();
    /// The node for a new channel; if fewer than half are in rotation, any of them. Null if none is
    /// in rotation, as there are no nearer zones here.
    auto choose() -> Gateway *;
    /// How many are in rotation.
    auto inRotation() -> std::size_t;

private:
    auto probeAll() -> void;

    const Gateways &gateways_;
    std::mutex mutex_;
    std::vector<int> misses_;
    std::size_t next_ = 0;
    std::atomic<bool> ends_{false};
    std::thread prober_;
};

/// A route as the operator writes it; `change` replaces fields.
auto routeOf(const std::string &name, const std::string &path, const std::string &type,
             const std::string &service, const Json &change = Json::object()) -> Json;
/// A configuration with one tenant, `north`.
auto configurationOf(int version, const Json &routes, const Json &services,
                     const std::vector<std::string> &keys) -> Json;

/// Text of a requester's request.
struct Request
{
    std::string method = "GET";
    std::string target;
    std::string attempt;
    std::string key;
    int deadlineMs = 0;
    std::string body;

    auto text() const -> std::string;
};

/// A new id for a requester attempt.
auto newAttempt() -> std::string;

/// Where the case writes its record; the folder of its script.
auto caseFolder(int argc, char **argv) -> std::string;
/// Whether the disruption is left out (`TROUBLE=0`).
auto isCalm() -> bool;
/// A folder for settings and logs of this run, removed by the script.
auto workFolder() -> std::string;
/// Ends the program at once, after the gateways have been ended.
[[noreturn]] auto finish(int status) -> void;

} // namespace review
