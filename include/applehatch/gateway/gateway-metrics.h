/// Metrics of a gateway process.
#pragma once

#include "applehatch/gateway/exchange.h"
#include "applehatch/telemetry/metrics.h"

#include <functional>
#include <string>

namespace applehatch::gateway {

/// Functions that supply gauge values at each scrape.
struct GatewayGauges
{
    std::function<double()> inFlight;
    std::function<double()> callerConnections;
    std::function<double()> upstreamConnectionsOpened;
    std::function<double()> upstreams;
    std::function<double()> configurationVersion;
    std::function<double()> registryRevision;
    std::function<double()> peers;
    std::function<double()> registryBehindSeconds;
    std::function<double()> keptBytes;
};

class GatewayMetrics
{
public:
    GatewayMetrics();

    auto setGauges(GatewayGauges gauges) -> void;
    auto note(const ExchangeReport &report) -> void;
    /// Counts an event such as `retried` or `upstream-silent`.
    auto noteEvent(const std::string &event, std::size_t count = 1) -> void;
    /// Records by how much the event loop was late for its tick.
    auto noteLoopDelay(core::Duration late) -> void;
    [[nodiscard]] auto scrape() -> std::string { return metrics_.scrape(); }

private:
    telemetry::Metrics metrics_;
    prometheus::Histogram &duration_;
    prometheus::Histogram &firstByte_;
    prometheus::Histogram &loopDelay_;
};

} // namespace applehatch::gateway
