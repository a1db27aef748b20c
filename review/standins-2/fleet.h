/// The servers of a small deployment, alw-dash, before one gateway.
#pragma once

#include "callers.h"
#include "engine.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

/// Answers a plain call as `dash-app` does.
auto serveCall(Run &run) -> bool;

/// Streams ten events, 60 ms apart.
auto serveStream(Run &run) -> bool;

class Fleet
{
public:
    /// `model` is the behaviour of the model engine of each number, from 0.
    Fleet(Record &record, const std::string &folder, const GatewayOptions &options,
          const std::function<Behaviour(int)> &model, Behaviour application = serveCall);

    /// Waits until the gateway is ready and knows its servers.
    auto isReady() const -> bool;
    [[nodiscard]] auto gateway() -> Gateway & { return gateway_; }
    [[nodiscard]] auto store() -> Store & { return store_; }
    /// The model engines come first.
    [[nodiscard]] auto engine(int number) -> Engine & { return *engines_.at(number); }

    static constexpr int modelEngines = 12;
    static constexpr int applicationServers = 3;

private:
    Store store_;
    std::vector<std::unique_ptr<Engine>> engines_;
    Gateway gateway_;
};

/// Whether the case plays its disruption.
auto hasTrouble() -> bool;

/// Prints and records the result; gives the exit code.
auto conclude(Record &record, const std::string &text, bool isBroken) -> int;

} // namespace review
