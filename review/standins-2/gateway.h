/// The system's own process, started with the commands of the deploy file.
#pragma once

#include "net.h"
#include "record.h"
#include "store.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

struct GatewayOptions
{
    std::string ip;
    std::string zone = "bole-hall";
    double memoryMegabytes = 260;
    int sockets = 4100;
    /// Ports of its own; 0 takes free ones.
    int frontPort = 0;
    int readyPort = 0;
    /// The first of `port-range`, the same on all machines.
    int peerPort = 0;
    std::vector<std::string> seeds; ///< Addresses of machines; its own if there are none.
};

/// Its settings are those of a small deployment, alw-dash.
class Gateway
{
public:
    Gateway(const GatewayOptions &options, const Store &store, Record &record,
            const std::string &folder);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    auto operator=(const Gateway &) -> Gateway & = delete;

    [[nodiscard]] auto front() const -> const Endpoint & { return front_; }
    [[nodiscard]] auto ready() const -> const Endpoint & { return ready_; }
    [[nodiscard]] auto pid() const -> pid_t { return pid_; }
    /// Waits until the ready address answers 200.
    auto awaitReady(Clock::time_point until) const -> bool;
    /// Whether the ready address answers 200 within `patience`.
    [[nodiscard]] auto isReady(Milliseconds patience) const -> bool;
    /// Resident memory in megabytes; 0 once the process has ended.
    [[nodiscard]] auto memory() const -> double;
    /// Processor time that it has used, in milliseconds.
    [[nodiscard]] auto processorTime() const -> long;
    [[nodiscard]] auto isRunning() -> bool;
    auto signal(int number) const -> void;

private:
    Endpoint front_;
    Endpoint ready_;
    pid_t pid_ = -1;
};

} // namespace review
