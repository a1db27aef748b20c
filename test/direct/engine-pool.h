/// A pool of engines and the configuration of the one route to it.
#pragma once

#include "applehatch/direct/directory.h"

#include <memory>
#include <string>

namespace applehatch::direct::testing {

/// Engines of the service `pool`, every other one in the data centre `here`.
inline auto engines(std::size_t count, std::uint32_t slots = 64) -> UpstreamList
{
    UpstreamList list;
    for (std::size_t i = 0; i < count; ++i) {
        Upstream upstream;
        upstream.instance = "engine-" + std::to_string(i);
        upstream.id = core::stableHash(upstream.instance);
        upstream.service = "pool";
        upstream.slots = slots;
        upstream.dataCenter = i % 2 == 0 ? "here" : "there";
        upstream.address = {"10.0.0." + std::to_string(i + 1), 80};
        list.push_back(upstream);
    }
    return list;
}

/// Streams of host `a` go to the service `pool`; `memoryTokens` is that of one engine, 0 if not
/// known.
inline auto poolConfiguration(std::uint32_t memoryTokens = 0) -> std::shared_ptr<Configuration>
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    Route route;
    route.host = "a";
    route.prefix = "/";
    route.kind = RouteKind::Stream;
    route.targets = {{"pool", 1}};
    configuration->add(route);
    Service service;
    service.name = "pool";
    service.isModel = true;
    service.sharesContexts = true;
    service.memoryTokens = memoryTokens;
    configuration->services["pool"] = service;
    return configuration;
}

/// The same with engines that bear `perSecond` requests a second while they are cold for 3 s.
inline auto coldPoolConfiguration(double perSecond = 13) -> std::shared_ptr<Configuration>
{
    auto configuration = poolConfiguration();
    configuration->services["pool"].coldTime = std::chrono::seconds(3);
    configuration->services["pool"].coldRequestsPerSecond = perSecond;
    return configuration;
}

} // namespace applehatch::direct::testing
