#include "gateway.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

using Json = nlohmann::json;

namespace {

auto settingsOf(const GatewayOptions &options, const Store &store, const Endpoint &front,
                const Endpoint &ready, int peerPort) -> Json
{
    const Json zones{
        {"bole-hall", "addis"}, {"kazanchis-hall", "addis"}, {"merkato-hall", "addis"}};
    const Json bounds{{"seed-lag-s", 3},
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
                      {"retry-extra", 52},
                      {"recovery-s", 12},
                      {"event-delay-ms", 120},
                      {"reuse-window-s", 10},
                      {"cap-factor", 2}};
    constexpr int controlPort = 8229;
    auto seeds = Json::array();
    for (const auto &ip : options.seeds)
        seeds.push_back(Endpoint{ip, controlPort}.text());
    const Endpoint control{options.ip, controlPort};
    if (seeds.empty())
        seeds.push_back(control.text());
    return {
        {"node-name", "edge-" + options.zone + "-1"},
        {"role", "router"},
        {"machine-class", "edge"},
        {"serves", {"edge", "control"}},
        {"ip", options.ip},
        {"zone", options.zone},
        {"region", "addis"},
        {"zones", zones},
        {"listen", {{"front", front.text()}, {"ready", ready.text()}, {"control", control.text()}}},
        {"port-range", {peerPort, peerPort + 15}},
        {"seeds", seeds},
        {"bootstrap", true},
        {"loss-counts", false},
        {"limits",
         {{"cpu-share", 0.19},
          {"cores", 1},
          {"memory-mb", options.memoryMegabytes},
          {"max-fds", options.sockets},
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
        {"bounds", bounds},
        {"platform",
         {{"addr", store.address().text()},
          {"form", "read"},
          {"writes-per-s", 400},
          {"reads-per-s", 2000},
          {"history-s", 20},
          {"max-value-bytes", 1048576},
          {"min-ttl-ms", 1000}}}};
}

auto portOr(int given, const std::string &ip) -> int
{
    return given != 0 ? given : freePort(ip);
}

// Texts that the child needs; it must not allocate, since other threads may hold the heap's lock.
struct Command
{
    std::string log;
    std::string path;
    std::string settings;
};

auto commandFor(const std::string &settings, const std::string &log) -> Command
{
    const auto *path = std::getenv("PATH");
    return {log, std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path),
            "APPLEHATCH_SETTINGS=" + settings};
}

auto run(const Command &command) -> void
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const auto out = open(command.log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    const char *environment[] = {command.path.c_str(), command.settings.c_str(), nullptr};
    const char *words[] = {"target/bin/applehatch-gateway", "--policies", "deploy/policies.jsonc",
                           nullptr};
    execve(words[0], const_cast<char **>(words), const_cast<char **>(environment));
    _exit(127);
}

} // namespace

Gateway::Gateway(const GatewayOptions &options, const Store &store, Record &record,
                 const std::string &folder)
    : front_{options.ip, portOr(options.frontPort, options.ip)}
    , ready_{options.ip, portOr(options.readyPort, options.ip)}
{
    const auto path = folder + "/settings-" + options.ip + ".json";
    std::ofstream(path)
        << settingsOf(options, store, front_, ready_, portOr(options.peerPort, options.ip)).dump(2);
    const auto command = commandFor(path, folder + "/gateway-" + options.ip + ".log");
    pid_ = fork();
    if (pid_ == 0)
        run(command);
    if (pid_ < 0)
        throw std::runtime_error("cannot start the gateway");
    record.note("gateway started, process " + std::to_string(pid_));
}

Gateway::~Gateway()
{
    if (!isRunning())
        return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
}

auto Gateway::isRunning() -> bool
{
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
        pid_ = -1;
    return pid_ > 0;
}

auto Gateway::signal(int number) const -> void
{
    if (pid_ > 0)
        kill(pid_, number);
}

auto Gateway::isReady(Milliseconds patience) const -> bool
{
    const auto until = Clock::now() + patience;
    auto socket = connectTo(ready_, until);
    std::string buffer;
    return socket.isOpen()
        && socket.send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", until)
        && readAnswer(socket, buffer, until).status == 200;
}

auto Gateway::awaitReady(Clock::time_point until) const -> bool
{
    while (Clock::now() < until) {
        if (isReady(std::chrono::seconds(1)))
            return true;
        std::this_thread::sleep_for(Milliseconds(50));
    }
    return false;
}

auto Gateway::memory() const -> double
{
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    // Until it runs the program, the child shares the memory of this process.
    if (!std::getline(status, line) || line.find("applehatch") == std::string::npos)
        return 0;
    while (std::getline(status, line)) {
        if (line.starts_with("VmRSS:"))
            return std::strtod(line.c_str() + 6, nullptr) / 1024;
    }
    return 0;
}

auto Gateway::processorTime() const -> long
{
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string word;
    long ticks = 0;
    for (int field = 1; stat >> word; ++field) {
        if (field == 14 || field == 15)
            ticks += std::strtol(word.c_str(), nullptr, 10);
    }
    return ticks * 1000 / sysconf(_SC_CLK_TCK);
}

} // namespace review
