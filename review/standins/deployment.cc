#include "deployment.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <random>
#include <stdexcept>

namespace review {

namespace {

auto base64(const std::string &bytes) -> std::string
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8U
                | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k <= bytes.size() ? letters[group >> (18 - 6 * k) & 63U] : '=';
    }
    return out;
}

auto random() -> std::mt19937_64 &
{
    static std::mt19937_64 generator(std::random_device{}());
    return generator;
}

auto queryValue(const std::string &target, const std::string &name) -> std::string
{
    const auto query = '&' + target.substr(std::min(target.size(), target.find('?') + 1)) + '&';
    const auto at = query.find('&' + name + '=');
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 2;
    return query.substr(from, query.find('&', from) - from);
}

auto portIsFree(const std::string &ip, std::uint16_t port) -> bool
{
    for (const auto type : {SOCK_STREAM, SOCK_DGRAM}) {
        const auto fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        const auto taken =
            ::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0;
        ::close(fd);
        if (taken)
            return false;
    }
    return true;
}

std::mutex startedMutex;
std::vector<Gateway *> startedGateways;

} // namespace

auto Record::add(const std::string &line) -> void
{
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", seconds());
    const std::lock_guard lock(mutex_);
    file_ << time << line << std::endl;
    std::printf("%s%s\n", time, line.c_str());
    std::fflush(stdout);
}

Hosts::Hosts()
    : second_(static_cast<int>(20 + random()() % 200))
    , third_(static_cast<int>(1 + random()() % 250))
    , next_(static_cast<std::uint16_t>(20000 + random()() % 10000))
{ }

auto Hosts::ip(int host) const -> std::string
{
    return "127." + std::to_string(second_) + '.' + std::to_string(third_) + '.'
        + std::to_string(host);
}

auto Hosts::freePort(int count) -> std::uint16_t
{
    while (true) {
        ++next_;
        auto isFree = true;
        for (int host = 1; host <= count; ++host)
            isFree = isFree && portIsFree(ip(host), next_);
        if (isFree)
            return next_;
    }
}

Store::Store(const std::string &ip)
    : server_({ip, 0}, [this](Connection &connection) { serve(connection); })
{ }

auto Store::note(Json event) -> std::uint64_t
{
    event["revision"] = ++revision_;
    events_.push_back(std::move(event));
    changed_.notify_all();
    return revision_;
}

auto Store::put(const std::string &key, const Json &value) -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    auto &item = items_[key];
    item.value = base64(value.dump());
    item.revision = revision_ + 1;
    if (item.created == 0)
        item.created = item.revision;
    return note({{"key", key}, {"value", item.value}, {"created", item.created}, {"lease", 0}});
}

auto Store::remove(const std::string &key) -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    return note({{"key", key}, {"removed", true}});
}

auto Store::serve(Connection &connection) -> void
{
    while (true) {
        Message request;
        if (readMessage(connection, request, 600) != Ended::Whole)
            return;
        const auto target = request.target();
        const auto prefix = queryValue(target, "path-prefix");
        Json answer;
        if (target.starts_with("/v1/kv-range"))
            answer = range(prefix);
        else if (target.starts_with("/v1/kv-watch"))
            answer = watch(prefix, std::strtoull(queryValue(target, "after").c_str(), nullptr, 10),
                           std::atof(queryValue(target, "wait-ms").c_str()) / 1000);
        const auto body = answer.dump();
        const auto *status = answer.is_null() ? "404 Not Found" : "200 OK";
        if (!connection.write(std::string("HTTP/1.1 ") + status
                              + "\r\nContent-Type: application/json\r\nContent-Length: "
                              + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

auto Store::range(const std::string &prefix) -> Json
{
    const std::lock_guard lock(mutex_);
    auto entries = Json::array();
    for (const auto &[key, item] : items_) {
        if (key.starts_with(prefix))
            entries.push_back({{"key", key},
                               {"value", item.value},
                               {"revision", item.revision},
                               {"created", item.created},
                               {"lease", 0}});
    }
    return {{"entries", entries}, {"has-more", false}, {"current-rev", revision_}};
}

auto Store::watch(const std::string &prefix, std::uint64_t after, double wait) -> Json
{
    std::unique_lock lock(mutex_);
    const auto collect = [&] {
        auto events = Json::array();
        for (const auto &event : events_) {
            const auto isNews = event.at("revision").get<std::uint64_t>() > after;
            if (isNews && event.at("key").get<std::string>().starts_with(prefix))
                events.push_back(event);
        }
        return events;
    };
    auto events = collect();
    changed_.wait_for(lock, std::chrono::duration<double>(wait), [&] {
        events = collect();
        return !events.empty();
    });
    return {{"events", events}, {"current-rev", revision_}};
}

auto Runs::add(Run run) -> void
{
    const std::lock_guard lock(mutex_);
    runs_.push_back(std::move(run));
}

auto Runs::all() -> std::vector<Run>
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

auto Runs::of(const std::string &attempt) -> std::vector<Run>
{
    std::vector<Run> found;
    for (auto &run : all()) {
        if (run.attempt == attempt)
            found.push_back(run);
    }
    return found;
}

Engine::Engine(Store &store, Runs &runs, const Address &at, std::string id, std::string service,
               std::string zone, int slots, Work work)
    : store_(store)
    , runs_(runs)
    , id_(std::move(id))
    , service_(std::move(service))
    , zone_(std::move(zone))
    , slots_(slots)
    , work_(std::move(work))
    , server_(at, [this](Connection &connection) { serve(connection); })
{ }

auto Engine::enter(const std::string &state) -> void
{
    store_.put("servers/" + id_,
               {{"service", service_},
                {"addr", server_.address().text()},
                {"zone", zone_},
                {"version", "v1"},
                {"slots", slots_},
                {"state", state},
                {"cold-left-ms", 0},
                {"seq", ++seq_}});
}

auto Engine::serve(Connection &connection) -> void
{
    while (true) {
        Message request;
        if (readMessage(connection, request, 600) != Ended::Whole)
            return;
        const auto attempt = request.header("x-attempt-id");
        const auto expected = request.header("x-expect-instance");
        if (request.target() == "/healthz") {
            if (!connection.write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id_
                                  + "\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        if (!expected.empty() && expected != id_) {
            if (!connection.write("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: " + attempt
                                  + "\r\nX-Instance-Id: " + id_
                                  + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        runs_.add({attempt, id_, request.target(), request.header("x-tenant"), seconds()});
        work_(connection, request);
    }
}

auto answerHead(int status, const Message &request, const std::string &framing) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error")
        + "\r\nX-Attempt-Id: " + request.header("x-attempt-id")
        + "\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" + framing + "\r\n\r\n";
}

Gateway::Gateway(Place place, Json settings, std::string directory)
    : place_(std::move(place))
    , settings_(std::move(settings))
    , directory_(std::move(directory))
{
    std::ofstream(directory_ + '/' + place_.name + ".json") << settings_.dump(2);
    const std::lock_guard lock(startedMutex);
    startedGateways.push_back(this);
}

Gateway::~Gateway()
{
    if (runs())
        signal(SIGKILL);
}

auto Gateway::start() -> void
{
    const auto settings = directory_ + '/' + place_.name + ".json";
    const auto log = directory_ + '/' + place_.name + ".log";
    const auto variable = "APPLEHATCH_SETTINGS=" + settings;
    const std::array<const char *, 4> command = {"target/bin/applehatch-gateway", "--policies",
                                                 "deploy/policies.jsonc", nullptr};
    const std::array<const char *, 2> environment = {variable.c_str(), nullptr};
    const auto fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const rlim_t descriptors = settings_.at("limits").at("max-fds");
    end_.clear();
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No gateway outlives a case that is ended early.
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        // The platform limits the descriptors of each process to what its settings say.
        rlimit limit{};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = std::min(limit.rlim_max, descriptors);
        ::setrlimit(RLIMIT_NOFILE, &limit);
        ::execve(command.front(), const_cast<char **>(command.data()),
                 const_cast<char **>(environment.data()));
        ::_exit(127);
    }
    ::close(fd);
}

auto Gateway::signal(int number) -> void
{
    if (runs())
        ::kill(pid_, number);
}

auto Gateway::runs() -> bool
{
    if (pid_ <= 0)
        return false;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_)
        return true;
    pid_ = -1;
    end_ = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                               : "status " + std::to_string(WEXITSTATUS(status));
    return false;
}

namespace {

auto addressOf(const std::string &text) -> Address
{
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

} // namespace

auto Gateway::front() const -> Address
{
    return addressOf(settings_.at("listen").at("front"));
}

auto Gateway::ready() const -> Address
{
    return addressOf(settings_.at("listen").at("ready"));
}

auto Gateway::logLines(const std::string &text) const -> std::vector<std::string>
{
    std::vector<std::string> lines;
    std::ifstream log(directory_ + '/' + place_.name + ".log");
    for (std::string line; std::getline(log, line);) {
        if (line.find(text) != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

auto isReady(const Gateway &gateway) -> bool
{
    const auto connection = Connection::open(gateway.ready(), 1);
    if (!connection || !connection->write("GET /v1/readyz HTTP/1.1\r\nHost: platform\r\n\r\n"))
        return false;
    Message answer;
    return readMessage(*connection, answer, 1) == Ended::Whole && answer.status() == 200;
}

auto settingsOf(const Gateway::Place &place, const std::vector<std::string> &seeds,
                const Address &store, std::uint16_t frontPort, std::uint16_t peerPort) -> Json
{
    const auto at = [&](int offset) {
        return Address{place.ip, static_cast<std::uint16_t>(frontPort + offset)}.text();
    };
    auto seedAddresses = Json::array();
    for (const auto &seed : seeds)
        seedAddresses.push_back(Address{seed, static_cast<std::uint16_t>(frontPort + 2)}.text());
    return {{"node-name", place.name},
            {"role", "router"},
            {"machine-class", "edge"},
            {"serves", {"edge", "control"}},
            {"ip", place.ip},
            {"zone", place.zone},
            {"region", "r"},
            {"zones", {{"z1", "r"}, {"z2", "r"}, {"z3", "r"}}},
            {"listen", {{"front", at(0)}, {"ready", at(1)}, {"control", at(2)}}},
            {"port-range", {peerPort, peerPort + 15}},
            {"seeds", seedAddresses},
            {"bootstrap", true},
            {"loss-counts", false},
            {"limits",
             {{"cpu-share", 0.19},
              {"cores", 1},
              {"memory-mb", 260},
              {"max-fds", 4100},
              {"link-mbps", 1000.0},
              {"disk-mb", 0}}},
            {"data-dir", nullptr},
            {"discovery", "platform"},
            {"entry", "vip"},
            {"heartbeat-ms", 1200},
            {"contracts",
             {"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
              "platform"}},
            {"fault-tolerance", {{"machines", 2}, {"zones", 0}, {"regions", 0}}},
            {"bounds",
             {{"seed-lag-s", 3},
              {"reuse-after-s", 2},
              {"stable-window-ms", 3000},
              {"ack-ms", 4000},
              {"catch-up-s", 4},
              {"drain-ms", 2000},
              {"grace-s", 8},
              {"loss-slack-ms", 200},
              {"config-ms", 2000},
              {"rollback-slack-ms", 250},
              {"outer-ms", 5000},
              {"revoke-strict", false},
              {"revoke-ms", 5000},
              {"retry-ratio", 0.2},
              {"retry-window-s", 10},
              {"retry-extra", 58},
              {"recovery-s", 12},
              {"event-delay-ms", 120},
              {"reuse-window-s", 10},
              {"cap-factor", 2}}},
            {"platform",
             {{"addr", store.text()},
              {"form", "read"},
              {"writes-per-s", 400},
              {"reads-per-s", 2000},
              {"history-s", 20},
              {"max-value-bytes", 1048576},
              {"min-ttl-ms", 1000}}}};
}

auto startGateways(Hosts &hosts, const Store &store, const std::vector<std::string> &zones,
                   const std::function<void(Json &)> &change) -> Gateways
{
    const auto count = static_cast<int>(zones.size());
    const auto front = hosts.freePort(count);
    const auto peers = static_cast<std::uint16_t>(hosts.freePort(count) + 100);
    std::vector<std::string> seeds;
    for (int i = 1; i <= std::min(3, count); ++i)
        seeds.push_back(hosts.ip(i));
    Gateways gateways;
    for (int i = 0; i < count; ++i) {
        const Gateway::Place place{"edge-" + std::to_string(i + 1), hosts.ip(i + 1),
                                   zones[static_cast<std::size_t>(i)]};
        auto settings = settingsOf(place, seeds, store.address(), front, peers);
        if (change)
            change(settings);
        gateways.push_back(std::make_unique<Gateway>(place, std::move(settings), workFolder()));
        gateways.back()->start();
    }
    for (const auto until = seconds() + 10; seconds() < until; sleepFor(0.1)) {
        if (std::all_of(gateways.begin(), gateways.end(),
                        [](const auto &gateway) { return isReady(*gateway); }))
            return gateways;
    }
    return {};
}

Entry::Entry(const Gateways &gateways)
    : gateways_(gateways)
    , misses_(gateways.size(), 0)
    , prober_([this] { probeAll(); })
{ }

Entry::~Entry()
{
    ends_ = true;
    prober_.join();
}

auto Entry::probeAll() -> void
{
    while (!ends_) {
        const auto next = seconds() + 1;
        for (std::size_t i = 0; i < gateways_.size(); ++i) {
            const auto ready = isReady(*gateways_[i]);
            const std::lock_guard lock(mutex_);
            misses_[i] = ready ? 0 : misses_[i] + 1;
        }
        while (!ends_ && seconds() < next)
            sleepFor(0.02);
    }
}

auto Entry::inRotation() -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(misses_.begin(), misses_.end(), [](int misses) { return misses < 2; }));
}

auto Entry::choose() -> Gateway *
{
    const auto rotating = inRotation();
    if (rotating == 0)
        return nullptr;
    const std::lock_guard lock(mutex_);
    const auto usesAll = 2 * rotating < gateways_.size();
    for (std::size_t i = 0; i < gateways_.size(); ++i) {
        const auto at = next_++ % gateways_.size();
        if (usesAll || misses_[at] < 2)
            return gateways_[at].get();
    }
    return nullptr;
}

auto routeOf(const std::string &name, const std::string &path, const std::string &type,
             const std::string &service, const Json &change) -> Json
{
    Json route = {{"name", name},    {"host", "app.example"}, {"path-prefix", path},
                  {"type", type},    {"timeout-ms", 4000},    {"slo-ms", 300},
                  {"priority", 2},   {"service", service},    {"attempts", 2},
                  {"public", false}, {"sticky", false},       {"resumable", false}};
    route.update(change);
    return route;
}

auto configurationOf(int version, const Json &routes, const Json &services,
                     const std::vector<std::string> &keys) -> Json
{
    return {{"version", version},
            {"routes", routes},
            {"services", services},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000}}},
            {"tenants", {{{"name", "north"}, {"api-keys", keys}}}}};
}

auto Request::text() const -> std::string
{
    auto out = method + ' ' + target + " HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + attempt
        + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n";
    if (!key.empty())
        out += "Authorization: Bearer " + key + "\r\n";
    if (method != "GET")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

auto newAttempt() -> std::string
{
    static std::mutex mutex;
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()()));
    return text;
}

auto caseFolder(int argc, char **argv) -> std::string
{
    return argc > 1 ? argv[1] : ".";
}

auto isCalm() -> bool
{
    const auto *trouble = std::getenv("TROUBLE");
    return trouble != nullptr && std::strcmp(trouble, "0") == 0;
}

auto workFolder() -> std::string
{
    const auto *folder = std::getenv("REVIEW_WORK");
    if (folder == nullptr)
        throw std::runtime_error("REVIEW_WORK names no folder");
    return folder;
}

auto finish(int status) -> void
{
    const std::lock_guard lock(startedMutex);
    for (auto *gateway : startedGateways) {
        gateway->signal(SIGCONT);
        gateway->signal(SIGKILL);
    }
    for (const auto until = seconds() + 3; seconds() < until;) {
        if (std::none_of(startedGateways.begin(), startedGateways.end(),
                         [](Gateway *gateway) { return gateway->runs(); }))
            break;
        sleepFor(0.02);
    }
    std::fflush(nullptr);
    std::_Exit(status);
}

} // namespace review
