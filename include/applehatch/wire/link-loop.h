/// The RPC loop: numbered links to peers, each carrying messages in order both ways.
#pragma once

#include "applehatch/core/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>

namespace applehatch::wire {

using LinkId = std::uint64_t;

/// What happens on links; called on the loop's thread, so they must not block.
struct LinkHooks
{
    std::function<void(LinkId)> onUp;
    std::function<void(LinkId, core::Message)> onMessage;
    std::function<void(LinkId)> onDown;
};

/// Bytes and messages carried, by message kind, for the control-traffic measure.
struct LinkTraffic
{
    std::function<void(std::string_view kind, std::size_t bytes)> onSent;
};

/// One event-loop thread that owns every Cap'n Proto capability of the process.
class LinkLoop
{
public:
    LinkLoop(LinkHooks hooks, LinkTraffic traffic);
    ~LinkLoop();
    LinkLoop(const LinkLoop &) = delete;
    auto operator=(const LinkLoop &) -> LinkLoop & = delete;

    /// Accepts links on `address`; port 0 picks a free one, given back in `bound`.
    [[nodiscard]] auto listen(const core::Address &address, core::Address &bound)
        -> std::error_code;

    /// Begins opening a link; `onUp` or `onDown` follows. Thread-safe.
    [[nodiscard]] auto open(const core::Address &peer) -> LinkId;

    /// Queues a message; dropped when the link is down. Thread-safe.
    auto send(LinkId link, core::Message message) -> void;

    /// Closes a link without `onDown`. Thread-safe.
    auto close(LinkId link) -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::wire
