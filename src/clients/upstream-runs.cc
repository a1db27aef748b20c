#include "applehatch/clients/upstream-runs.h"

#include "upstream-client-exchange.h"
#include "upstream-client-stream-end.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace applehatch::clients {

namespace {

constexpr core::Duration connectLimit = std::chrono::seconds(2);
/// An engine that reads a long context for the first time pauses longer than ever between tokens.
constexpr int firstByteFactor = 4;
constexpr int nextByteFactor = 1;
constexpr auto chatPath = "/v1/chat/completions";
constexpr core::Duration sweepPeriod = std::chrono::milliseconds(50);
/// Read of one answer before every other connection had its turn.
constexpr std::size_t turnBytes = 65536;

auto setHeader(core::Headers &headers, std::string_view name, const std::string &value) -> void
{
    std::erase_if(headers, [name](const auto &header) { return sameName(header.first, name); });
    if (!value.empty()) {
        headers.emplace_back(name, value);
    }
}

/// Whoever goes on with a stream may never have seen the call that began it.
auto isContinuation(const core::StartRun &start) -> bool
{
    return start.call.method.empty();
}

auto requestFor(const core::StartRun &start) -> ExchangeRequest
{
    ExchangeRequest request{start.call.method, start.call.path, start.call.headers, {}};
    if (start.call.body) {
        request.body = *start.call.body;
    }
    const auto resume = start.resumeFrom == 0 ? "" : std::to_string(start.resumeFrom);
    if (isContinuation(start)) {
        request.method = "POST";
        request.path = chatPath;
    }
    setHeader(request.headers, "X-Request-Id", start.request);
    setHeader(request.headers, "X-Priority", std::to_string(start.priority));
    setHeader(request.headers, "X-Chat-Key", start.chat == 0 ? "" : chatHex(start.chat));
    setHeader(request.headers, "X-Resume-From", resume);
    return request;
}

auto isEventStream(const ExchangeHead &head) -> bool
{
    return head.status == 200
        && headerValue(head.headers, "Content-Type").starts_with("text/event-stream");
}

/// A plain answer comes in one piece after the whole run, so only a stream's pauses tell that an
/// upstream went silent; a plain answer may take until its deadline.
auto longestPause(const core::StartRun &start, core::Duration silence, int factor) -> core::Duration
{
    return start.call.stream ? factor * silence : std::max(silence, start.remaining);
}

/// How a run ended whose connection broke or ended before its answer was whole.
auto breakAt(ExchangeStage stage) -> core::RunBreak
{
    switch (stage) {
    case ExchangeStage::NotConnected:
        return core::RunBreak::NeverSent;
    case ExchangeStage::Sent:
        return core::RunBreak::Lost;
    case ExchangeStage::HeadRead:
        break;
    }
    return core::RunBreak::EndedEarly;
}

/// How a run ended that was given up here, which is `how` once anything was sent.
auto breakOff(ExchangeStage stage, core::RunBreak how) -> core::RunBreak
{
    return stage == ExchangeStage::NotConnected ? core::RunBreak::NeverSent : how;
}

} // namespace

/// One run. Its promise ends before its exchange.
struct UpstreamRuns::Run
{
    Run(kj::Network &network, const kj::HttpHeaderTable &table, const core::Address &upstream,
        core::StartRun asked)
        : start(std::move(asked))
        , request(requestFor(start))
        , exchange(network, table, upstream)
        , end(start.resumeFrom > 0)
    { }

    /// Longest wait for the next byte from now on.
    auto allow(core::Duration longest) -> void
    {
        pause = longest;
        quiet = core::Duration::zero();
    }

    core::StartRun start;
    ExchangeRequest request;
    Exchange exchange;
    StreamEnd end;
    bool events = false; ///< The answer is an event stream.
    bool framed = false; ///< Its end can be told from a broken connection.
    core::Duration pause{0};
    core::Duration quiet{0}; ///< Listened for without a byte.
    std::string unreported;  ///< Read and not yet reported.
    std::size_t readInTurn = 0;
    kj::Promise<void> work = nullptr;
};

UpstreamRuns::UpstreamRuns(kj::AsyncIoContext &io, core::Address upstream, core::Duration silence,
                           Report report)
    : network_(io.provider->getNetwork())
    , timer_(io.provider->getTimer())
    , upstream_(std::move(upstream))
    , silence_(silence)
    , report_(std::move(report))
    , table_(kj::HttpHeaderTable::Builder().build())
    , tasks_(*this)
{ }

UpstreamRuns::~UpstreamRuns() = default;

auto UpstreamRuns::start(core::StartRun start) -> void
{
    const auto id = start.run;
    auto &held = runs_[id];
    held = kj::heap<Run>(network_, *table_, upstream_, std::move(start));
    auto &run = *held;
    if (!sendable(run.request)) {
        finish(run, core::RunBroken{id, core::RunBreak::NeverSent});
        return;
    }
    if (!sweeping_) {
        sweeping_ = true;
        tasks_.add(sweepOn());
    }
    run.allow(connectLimit);
    run.work = carryOut(run).eagerlyEvaluate(
        [this, &run](kj::Exception && /*broken*/) { end(run, false); });
}

auto UpstreamRuns::cancel(core::RunId id) -> std::optional<core::RequestId>
{
    const auto found = runs_.find(id);
    if (found == runs_.end()) {
        return std::nullopt;
    }
    auto &run = *found->second;
    const auto request = run.start.request;
    finish(run, core::RunBroken{id, breakOff(run.exchange.stage(), core::RunBreak::Lost)});
    return request;
}

auto UpstreamRuns::carryOut(Run &run) -> kj::Promise<void>
{
    return run.exchange.connect()
        .then([this, &run] {
            run.allow(longestPause(run.start, silence_, firstByteFactor));
            return run.exchange.send(run.request);
        })
        .then([this, &run](std::optional<ExchangeHead> &&head) -> kj::Promise<void> {
            if (!head) {
                end(run, false);
                return kj::READY_NOW;
            }
            run.allow(longestPause(run.start, silence_, nextByteFactor));
            takeHead(run, *head);
            return readOn(run);
        });
}

auto UpstreamRuns::takeHead(Run &run, ExchangeHead &head) -> void
{
    run.events = isEventStream(head);
    run.framed = head.framed;
    const auto warm = headerValue(head.headers, "X-Cache") == "warm";
    report_(core::RunHead{run.start.run, head.status, std::move(head.headers), warm});
}

auto UpstreamRuns::readOn(Run &run) -> kj::Promise<void>
{
    return run.exchange.read().then([this, &run](std::string_view data) -> kj::Promise<void> {
        if (data.empty()) {
            end(run, run.events ? run.end.reachedAtClose() : run.framed);
            return kj::READY_NOW;
        }
        take(run, data);
        if (run.events && run.end.reached()) {
            end(run, true);
            return kj::READY_NOW;
        }
        run.readInTurn += data.size();
        if (run.readInTurn < turnBytes) {
            return readOn(run);
        }
        // Timers are due only after all sockets were looked at.
        run.readInTurn = 0;
        return timer_.afterDelay(0 * kj::SECONDS).then([this, &run] { return readOn(run); });
    });
}

// What lies ready is read first and reported as one: most of the work for a chunk does not depend
// on its size, and a process that is behind would stay behind with one report for each token.
auto UpstreamRuns::take(Run &run, std::string_view data) -> void
{
    run.quiet = core::Duration::zero();
    run.end.take(data);
    if (run.unreported.empty()) {
        unreported_.push_back(run.start.run);
    }
    run.unreported.append(data);
    if (!reporting_) {
        reporting_ = true;
        tasks_.add(kj::evalLast([this] { reportAll(); }));
    }
}

auto UpstreamRuns::reportAll() -> void
{
    reporting_ = false;
    for (const auto id : std::exchange(unreported_, {})) {
        const auto found = runs_.find(id);
        if (found != runs_.end()) {
            reportData(*found->second);
        }
    }
}

auto UpstreamRuns::reportData(Run &run) -> void
{
    run.readInTurn = 0;
    if (!run.unreported.empty()) {
        report_(core::RunChunk{run.start.run, std::exchange(run.unreported, {})});
    }
}

auto UpstreamRuns::end(Run &run, bool whole) -> void
{
    if (whole) {
        finish(run, core::RunEnd{run.start.run});
    } else {
        finish(run, core::RunBroken{run.start.run, breakAt(run.exchange.stage())});
    }
}

auto UpstreamRuns::finish(Run &run, core::SidecarEvent outcome) -> void
{
    reportData(run);
    const auto found = runs_.find(run.start.run);
    auto ended = kj::mv(found->second);
    runs_.erase(found);
    // Destroyed one turn later: the caller may be the run's own promise.
    tasks_.add(kj::evalLater([] {}).attach(kj::mv(ended)));
    report_(std::move(outcome));
}

auto UpstreamRuns::sweepOn() -> kj::Promise<void>
{
    return timer_.afterDelay(sweepPeriod.count() * kj::MICROSECONDS)
        .then([this] { return kj::evalLast([this] { sweep(); }); })
        .then([this]() -> kj::Promise<void> {
            if (runs_.empty()) {
                sweeping_ = false;
                return kj::READY_NOW;
            }
            return sweepOn();
        });
}

// Counts what it meant to wait, not what passed: after a hold-up of this process the upstream's
// bytes lie unread, and it would be blamed for a silence that was ours.
auto UpstreamRuns::sweep() -> void
{
    std::vector<core::RunId> silent;
    for (auto &[id, run] : runs_) {
        run->quiet += sweepPeriod;
        if (run->quiet >= run->pause) {
            silent.push_back(id);
        }
    }
    for (const auto id : silent) {
        const auto found = runs_.find(id);
        if (found != runs_.end()) {
            const auto stage = found->second->exchange.stage();
            finish(*found->second, core::RunBroken{id, breakOff(stage, core::RunBreak::Silent)});
        }
    }
}

} // namespace applehatch::clients
