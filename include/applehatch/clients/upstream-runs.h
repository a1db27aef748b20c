/// The runs at one upstream, over HTTP, all on one event loop.
#pragma once

#include "applehatch/core/sidecar-node.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <functional>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace applehatch::clients {

struct ExchangeHead;

/// Carries out runs and reports them as events of the sidecar's node. Belongs to the thread of the
/// event loop, on which it also reports.
///
/// Of a call that asked for a stream each pause is limited by `silence`, and four times it before
/// the head; a plain answer may take until the call's deadline.
///
/// Only an answer whose end shows that all of it arrived is whole: an event stream by its end
/// marker, another body by its length or its last chunk. `NeverSent`: no connection, or a request
/// that cannot be written as HTTP. `Lost`: broken before a readable head, or cancelled.
/// `EndedEarly`: broken after the head. `Silent`: no byte in time.
class UpstreamRuns final : private kj::TaskSet::ErrorHandler
{
public:
    /// Gets a `RunHead`, then `RunChunk`s, and last a `RunEnd` or `RunBroken` of each run. It must
    /// not start or cancel a run before it has returned.
    using Report = std::function<void(core::SidecarEvent)>;

    /// `silence` is the longest pause between two bytes before a call counts as silent.
    UpstreamRuns(kj::AsyncIoContext &io, core::Address upstream, core::Duration silence,
                 Report report);

    /// Ends all runs without a report.
    ~UpstreamRuns();
    UpstreamRuns(const UpstreamRuns &) = delete;
    auto operator=(const UpstreamRuns &) -> UpstreamRuns & = delete;

    auto start(core::StartRun start) -> void;

    /// Ends a run; gives the request that it was, none when it has ended. The engine goes on with
    /// the stream until it is told to stop, so that it can be resumed.
    auto cancel(core::RunId id) -> std::optional<core::RequestId>;

private:
    struct Run;

    auto carryOut(Run &run) -> kj::Promise<void>;
    auto takeHead(Run &run, ExchangeHead &head) -> void;
    auto readOn(Run &run) -> kj::Promise<void>;
    auto take(Run &run, std::string_view data) -> void;
    auto reportAll() -> void;
    auto reportData(Run &run) -> void;
    /// Ends a run whose body ended or whose connection broke.
    auto end(Run &run, bool whole) -> void;
    auto finish(Run &run, core::SidecarEvent outcome) -> void;
    auto sweepOn() -> kj::Promise<void>;
    auto sweep() -> void;
    auto taskFailed(kj::Exception &&exception) -> void override { (void)exception; }

    kj::Network &network_;
    kj::Timer &timer_;
    core::Address upstream_;
    core::Duration silence_;
    Report report_;
    kj::Own<kj::HttpHeaderTable> table_;
    std::unordered_map<core::RunId, kj::Own<Run>> runs_;
    std::vector<core::RunId> unreported_; ///< With bytes that were read and not yet reported.
    bool reporting_ = false;              ///< A report of these is due.
    bool sweeping_ = false;               ///< The next look for silence is due.
    kj::TaskSet tasks_;
};

} // namespace applehatch::clients
