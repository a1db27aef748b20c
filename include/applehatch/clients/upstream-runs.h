/// Executes runs at one upstream over HTTP, all on one event loop.
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

/// Executes runs and reports them as events of the sidecar's node. It is used, and calls back, on
/// the thread of the event loop only.
///
/// When a call requested a stream, `silence` limits each pause, and four times `silence` the wait
/// for the response head; a plain answer may take until the call's deadline.
///
/// An answer is complete only when its end proves it: an event stream by its end marker, another
/// body by its length or its last chunk. `NeverSent`: no connection, or a request
/// that cannot be written as HTTP. `Lost`: the connection broke before a readable
/// head, or the run was cancelled. `EndedEarly`: it broke after the head. `Silent`: no byte arrived
/// in time.
class UpstreamRuns final : private kj::TaskSet::ErrorHandler
{
public:
    /// Receives a `RunHead`, then `RunChunk`s, and last a `RunEnd` or `RunBroken` of each run. The
    /// callback must not start or cancel a run.
    using Report = std::function<void(core::SidecarEvent)>;

    /// `silence` is the maximum pause between two bytes before a call counts as silent.
    UpstreamRuns(kj::AsyncIoContext &io, core::Address upstream, core::Duration silence,
                 Report report);

    /// Ends all runs without a report.
    ~UpstreamRuns();
    UpstreamRuns(const UpstreamRuns &) = delete;
    auto operator=(const UpstreamRuns &) -> UpstreamRuns & = delete;

    auto start(core::StartRun start) -> void;

    /// Ends a run and returns its request; empty when the run has already ended. The engine
    /// continues the stream until it is asked to stop, so that the stream can be resumed.
    auto cancel(core::RunId id) -> std::optional<core::RequestId>;

private:
    struct Run;

    auto execute(Run &run) -> kj::Promise<void>;
    auto takeHead(Run &run, ExchangeHead &head) -> void;
    auto readOn(Run &run) -> kj::Promise<void>;
    auto take(Run &run, std::string_view data) -> void;
    auto reportAll() -> void;
    auto reportData(Run &run) -> void;
    /// Ends a run whose body ended or whose connection broke.
    auto end(Run &run, bool complete) -> void;
    auto finish(Run &run, core::SidecarEvent outcome) -> void;
    auto scheduleSilenceCheck() -> kj::Promise<void>;
    auto checkSilence() -> void;
    auto taskFailed(kj::Exception &&exception) -> void override { (void)exception; }

    kj::Network &network_;
    kj::Timer &timer_;
    core::Address upstream_;
    core::Duration silence_;
    Report report_;
    kj::Own<kj::HttpHeaderTable> table_;
    std::unordered_map<core::RunId, kj::Own<Run>> runs_;
    std::vector<core::RunId> unreported_; ///< Runs with bytes read and not yet reported.
    bool reporting_ = false;              ///< A report of `unreported_` is scheduled.
    bool checkingSilence_ = false;        ///< The next silence check is scheduled.
    kj::TaskSet tasks_;
};

} // namespace applehatch::clients
