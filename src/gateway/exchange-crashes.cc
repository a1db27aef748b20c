// What a request tells of upstreams that crash, and of what crashes them.
#include "applehatch/gateway/exchange.h"

#include "parts-text.h"

#include "applehatch/core/log-line.h"
#include "applehatch/telemetry/clock.h"

#include <vector>

namespace applehatch::gateway {

auto Exchange::readParts() -> void
{
    demand_.parts = direct::partKeys(permit_.serviceName, demand_.prompt);
}

// Describes what is known of crashes under this request, for the log.
auto Exchange::crashText() const -> std::string
{
    const auto &suspects = environment_.dispatcher->suspects();
    return attempt_.choice.upstream.instance + ": fingerprint " + core::hexText(demand_.fingerprint)
        + ", crashes "
        + std::to_string(suspects.crashes(demand_.fingerprint, telemetry::steadyNow())) + ", parts "
        + partsText(demand_.parts);
}

// An upstream may crash at any moment of its answer, so a break after the head counts as well.
auto Exchange::noteBreak() -> void
{
    const auto now = telemetry::steadyNow();
    const auto upstream = attempt_.choice.upstream.id;
    auto &dispatcher = *environment_.dispatcher;
    const auto counts = dispatcher.suspects().noteBreak(demand_.fingerprint, upstream, now);
    environment_.note(id_, counts ? "crash-counted" : "crash-not-counted", crashText());
    if (counts)
        environment_.crashCounted({demand_.fingerprint, upstream, Duration(0), 1});
    const direct::PartBreak known{upstream, demand_.fingerprint, attempt_.sentAt, now};
    std::vector<direct::PartReport> reports;
    for (const auto part : demand_.parts)
        reports.push_back(dispatcher.parts().noteBreak(part, known, now));
    environment_.partsNoted(reports);
}

auto Exchange::noteSoundAnswer() -> void
{
    if (attempt_.isSound || !attempt_.beganAt)
        return;
    attempt_.isSound = true;
    const auto now = telemetry::steadyNow();
    std::vector<direct::PartReport> reports;
    for (const auto part : demand_.parts) {
        if (const auto report =
                environment_.dispatcher->parts().noteAnswer(part, *attempt_.beganAt, now))
            reports.push_back(*report);
    }
    environment_.partsNoted(reports);
}

auto Exchange::noteAnswered() -> void
{
    const auto now = telemetry::steadyNow();
    const auto &upstream = attempt_.choice.upstream;
    environment_.dispatcher->parts().noteAnswered(upstream.id, attempt_.sentAt, now);
    if (environment_.dispatcher->suspects().noteAnswered(upstream.id, attempt_.sentAt, now))
        environment_.note(id_, "crash-refuted", upstream.instance + ": answered a later request");
}

} // namespace applehatch::gateway
