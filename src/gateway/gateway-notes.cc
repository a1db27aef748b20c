// What is told at once to the gateways that keep it.
#include "applehatch/gateway/gateway-host.h"

#include "applehatch/telemetry/clock.h"

namespace applehatch::gateway {

using telemetry::steadyNow;

namespace {

// All requests that one crash breaks off are noticed within this time.
constexpr Duration outboxDelay = std::chrono::milliseconds(10);

} // namespace

template <typename Report>
auto GatewayHost::tellKeepers(const Report &report) -> void
{
    if (outbox_.isEmpty())
        outboxTimer_.start(outboxDelay, [this] { sendNotes(); });
    outbox_.add(report, steadyNow());
}

template auto GatewayHost::tellKeepers(const direct::CrashReport &report) -> void;
template auto GatewayHost::tellKeepers(const direct::StreamReport &report) -> void;
template auto GatewayHost::tellKeepers(const direct::PartReport &report) -> void;

auto GatewayHost::sendNotes() -> void
{
    if (outbox_.isEmpty())
        return;
    outboxTimer_.stop();
    const auto now = steadyNow();
    for (const auto &notes : outbox_.take(lastingPeers(now), now))
        mesh_.sendNotes(notes);
}

auto GatewayHost::lastingPeers(Instant now) const -> std::vector<Address>
{
    std::vector<Address> lasting;
    std::vector<Address> leaving;
    for (const auto &row : mesh_.table().alive(now))
        (row.leaving ? leaving : lasting).push_back(row.address);
    return lasting.empty() ? leaving : lasting;
}

} // namespace applehatch::gateway
