#include "applehatch/process/traffic.h"

#include "applehatch/wire/codec.h"

namespace applehatch::process {

namespace {

constexpr std::string_view sent = "sent";
constexpr std::string_view received = "received";
constexpr std::string_view digestKind = "digest";

} // namespace

Traffic::Traffic(telemetry::Metrics &metrics)
    : metrics_(metrics)
    , malformed_(metrics.counter({"applehatch_malformed_messages_total",
                                  "Messages and datagrams dropped because they cannot be read"}))
{ }

auto Traffic::linkHooks() -> wire::LinkTraffic
{
    wire::LinkTraffic hooks;
    hooks.onSent = [this](std::string_view kind, std::size_t bytes) { count(kind, sent, bytes); };
    hooks.onReceived = [this](std::string_view kind, std::size_t bytes) {
        count(kind, received, bytes);
    };
    hooks.onMalformed = [this] { malformed_.Increment(); };
    return hooks;
}

auto Traffic::addTo(wire::DigestHooks &hooks) -> void
{
    hooks.onSent = [this](std::size_t bytes) { count(digestKind, sent, bytes); };
    hooks.onReceived = [this](std::size_t bytes) { count(digestKind, received, bytes); };
    hooks.onMalformed = [this] { malformed_.Increment(); };
}

// Kinds and directions are string constants, so the map may store views of them.
auto Traffic::count(std::string_view kind, std::string_view direction, std::size_t bytes) -> void
{
    const auto counters = countersFor(kind, direction);
    counters.bytes->Increment(static_cast<double>(bytes));
    counters.messages->Increment();
}

auto Traffic::countersFor(std::string_view kind, std::string_view direction) -> Counters
{
    const std::lock_guard lock(mutex_);
    auto &counters = counters_[{kind, direction}];
    if (counters.bytes == nullptr) {
        const telemetry::Labels labels{
            {"kind", std::string(kind)},
            {"direction", std::string(direction)},
            {"class", wire::isControlKind(kind) ? "control" : "payload"},
        };
        counters.bytes = &metrics_.counter(
            {"applehatch_traffic_bytes_total", "Bytes of messages between processes"}, labels);
        counters.messages = &metrics_.counter(
            {"applehatch_traffic_messages_total", "Messages between processes"}, labels);
    }
    return counters;
}

} // namespace applehatch::process
