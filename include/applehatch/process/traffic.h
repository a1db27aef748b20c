/// Counters of bytes and messages between processes, by message kind and direction.
#pragma once

#include "applehatch/telemetry/metrics.h"
#include "applehatch/wire/datagram.h"
#include "applehatch/wire/link-loop.h"

#include <mutex>
#include <string_view>

namespace applehatch::process {

/// Maintains `applehatch_traffic_bytes_total{kind,direction,class}` and the corresponding message
/// counter; `class` is `control` or `payload`.
class Traffic
{
public:
    explicit Traffic(telemetry::Metrics &metrics);

    [[nodiscard]] auto linkHooks() -> wire::LinkTraffic;

    /// Sets the counting hooks of `hooks`, leaving `onDigest` unchanged.
    auto addTo(wire::DigestHooks &hooks) -> void;

private:
    struct Counters
    {
        prometheus::Counter *bytes = nullptr;
        prometheus::Counter *messages = nullptr;
    };

    auto count(std::string_view kind, std::string_view direction, std::size_t bytes) -> void;
    auto countersFor(std::string_view kind, std::string_view direction) -> Counters;

    telemetry::Metrics &metrics_;
    prometheus::Counter &malformed_;
    std::mutex mutex_; ///< Guards `counters_`.
    std::map<std::pair<std::string_view, std::string_view>, Counters> counters_;
};

} // namespace applehatch::process
