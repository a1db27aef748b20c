#include "applehatch/gateway/gateway-metrics.h"

#include <utility>

namespace applehatch::gateway {

namespace {

// Buckets in seconds, from a plain answer within a data centre to the longest stream.
auto secondsBuckets() -> const std::vector<double> &
{
    static const std::vector<double> buckets{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4,
                                             0.6,  0.8,   1.2,  2,   4,   8,   15};
    return buckets;
}

// Buckets in seconds; an event loop that keeps up is late by less than a millisecond.
auto loopDelayBuckets() -> const std::vector<double> &
{
    static const std::vector<double> buckets{0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2};
    return buckets;
}

auto seconds(core::Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

GatewayMetrics::GatewayMetrics()
    : duration_(metrics_.histogram(
        {"applehatch_request_duration_seconds", "From the whole request to the whole answer."},
        secondsBuckets()))
    , firstByte_(metrics_.histogram(
          {"applehatch_request_first_byte_seconds", "From the whole request to its first event."},
          secondsBuckets()))
    , loopDelay_(metrics_.histogram(
          {"applehatch_loop_delay_seconds", "By how much the event loop was late for its tick."},
          loopDelayBuckets()))
{
    telemetry::addProcessMetrics(metrics_);
}

auto GatewayMetrics::setGauges(GatewayGauges gauges) -> void
{
    const auto add = [this](const char *name, const char *help, std::function<double()> value) {
        auto &gauge = metrics_.gauge({name, help});
        metrics_.onScrape([&gauge, value = std::move(value)] { gauge.Set(value()); });
    };
    add("applehatch_requests_in_flight", "Requests without a whole answer.",
        std::move(gauges.inFlight));
    add("applehatch_caller_connections", "Open connections of callers.",
        std::move(gauges.callerConnections));
    add("applehatch_upstream_connections_opened", "Connections opened to upstreams since start.",
        std::move(gauges.upstreamConnectionsOpened));
    add("applehatch_upstreams", "Upstreams known.", std::move(gauges.upstreams));
    add("applehatch_configuration_version", "Version in force; 0 before the first.",
        std::move(gauges.configurationVersion));
    add("applehatch_registry_revision", "Revision of the registry known here.",
        std::move(gauges.registryRevision));
    add("applehatch_peers", "Routers heard a moment ago.", std::move(gauges.peers));
    add("applehatch_registry_behind_seconds",
        "For how long a peer has named a newer revision than the one known here.",
        std::move(gauges.registryBehindSeconds));
    add("applehatch_kept_message_bytes",
        "Bytes kept of requests, and of answers that are buffered or not sent.",
        std::move(gauges.keptBytes));
}

auto GatewayMetrics::note(const ExchangeReport &report) -> void
{
    metrics_
        .counter({"applehatch_requests_total", "Requests by outcome and status."},
                 {{"outcome", report.outcome}, {"status", std::to_string(report.status)}})
        .Increment();
    duration_.Observe(seconds(report.duration));
    if (report.firstByte)
        firstByte_.Observe(seconds(*report.firstByte));
}

auto GatewayMetrics::noteLoopDelay(core::Duration late) -> void
{
    loopDelay_.Observe(seconds(late));
}

auto GatewayMetrics::noteEvent(const std::string &event, std::size_t count) -> void
{
    metrics_
        .counter({"applehatch_events_total", "Decisions and changes by kind."}, {{"event", event}})
        .Increment(static_cast<double>(count));
}

} // namespace applehatch::gateway
