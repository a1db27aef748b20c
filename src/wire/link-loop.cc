#include "applehatch/wire/link-loop.h"

#include "connection.h"
#include "socket-address.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace applehatch::wire {

namespace {

constexpr auto acceptRetryDelay = 100 * kj::MILLISECONDS;
constexpr auto drainTimeout = 1 * kj::SECONDS;
constexpr auto drainCheckInterval = 5 * kj::MILLISECONDS;
constexpr core::Duration quietCheckInterval = std::chrono::milliseconds(10);

// The loop that runs on the current thread, if any.
thread_local const void *loopOfThisThread = nullptr;

using Wake = kj::Own<kj::CrossThreadPromiseFulfiller<void>>;

// A command posted to the loop: a message for a link, or a task.
struct Command
{
    LinkId link = 0;
    std::optional<core::Message> message;
    std::function<void()> task;
};

// A wait for a time without messages, counted in checks of the loop.
struct QuietWait
{
    std::int64_t quietChecks = 0;
    std::int64_t checksLeft = 0;
    std::int64_t quiet = 0;     ///< Checks since the last message.
    std::uint64_t received = 0; ///< As of the last check.
};

} // namespace

struct LinkLoop::State final : public kj::TaskSet::ErrorHandler
{
    LinkHooks hooks;
    LinkTraffic traffic;
    LinkLimits limits;
    std::atomic<LinkId> nextLink{1};

    // Guards `commands` and `wake`. It is the innermost lock of the process: no hook or
    // task is called while it is held.
    std::mutex mutex;
    std::vector<Command> commands;
    kj::Maybe<Wake> wake; ///< Wakes the sleeping loop; empty once a wake-up was sent.

    // The members below are used on the loop's thread only.
    kj::AsyncIoContext *io = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> turn; ///< Makes the loop run the posted commands.
    kj::Own<kj::TaskSet> tasks;
    std::unordered_map<LinkId, kj::Own<Connection>> connections;
    /// Links being connected, not yet in `connections`, with their queued messages.
    std::unordered_map<LinkId, std::vector<core::Message>> opening;
    std::vector<kj::Own<kj::ConnectionReceiver>> listeners;
    std::uint64_t received = 0; ///< Messages, over all links.
    bool stopping = false;
    std::thread thread;

    auto post(Command what) -> void;
    auto runLoop() -> void;
    auto drainConnections(kj::WaitScope &scope) -> void;
    [[nodiscard]] auto isSending() const -> bool;
    auto untilQuiet(QuietWait wait) -> kj::Promise<void>;
    auto nextTurn() -> kj::Promise<void>;
    auto runCommands() -> void;
    auto deliver(LinkId link, core::Message message) -> void;
    auto listenNow(const core::Address &address, core::Address &bound) -> std::error_code;
    auto acceptNext(kj::ConnectionReceiver &listener) -> kj::Promise<void>;
    auto accepted(kj::Own<kj::AsyncIoStream> stream) -> void;
    auto connect(LinkId link, const core::Address &peer) -> void;
    auto connected(LinkId link, kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void>;
    auto addConnection(LinkId link, kj::Own<kj::AsyncIoStream> stream, bool fromPeer)
        -> Connection &;
    auto dropUnlessUp(LinkId link) -> void;
    auto broken(LinkId link) -> void;
    auto remove(LinkId link) -> bool;
    auto closeNow(LinkId link) -> void;
    auto runEvery(kj::Duration period, std::function<void()> task) -> kj::Promise<void>;
    auto taskFailed(kj::Exception && /*exception*/) -> void override { }
};

auto LinkLoop::State::post(Command what) -> void
{
    const std::lock_guard lock(mutex);
    commands.push_back(std::move(what));
    if (loopOfThisThread == this) {
        turn->fulfill();
        return;
    }
    KJ_IF_MAYBE (sleeping, wake) {
        (*sleeping)->fulfill();
        wake = nullptr;
    }
}

// Messages queued while the loop is busy are handled in one turn, so that under load the cost of a
// turn is shared by more messages. Commands from the loop's own thread skip the cross-thread
// wake-up, which would cost two system calls.
auto LinkLoop::State::nextTurn() -> kj::Promise<void>
{
    auto next = kj::newPromiseAndFulfiller<void>();
    turn = kj::mv(next.fulfiller);
    const std::lock_guard lock(mutex);
    if (!commands.empty()) {
        turn->fulfill();
    } else if (wake == nullptr) {
        auto other = kj::newPromiseAndCrossThreadFulfiller<void>();
        wake = kj::mv(other.fulfiller);
        tasks->add(other.promise.then([this] { turn->fulfill(); }));
    }
    return kj::mv(next.promise);
}

auto LinkLoop::State::runCommands() -> void
{
    std::vector<Command> taken;
    {
        const std::lock_guard lock(mutex);
        taken.swap(commands);
    }
    std::unordered_set<LinkId> touched;
    for (auto &what : taken) {
        if (what.task) {
            what.task();
            continue;
        }
        deliver(what.link, std::move(*what.message));
        touched.insert(what.link);
    }
    for (const auto link : touched) {
        const auto found = connections.find(link);
        if (found != connections.end())
            found->second->flush();
    }
}

auto LinkLoop::State::deliver(LinkId link, core::Message message) -> void
{
    const auto found = connections.find(link);
    if (found != connections.end()) {
        found->second->enqueue(std::move(message));
        return;
    }
    const auto waiting = opening.find(link);
    if (waiting != opening.end())
        waiting->second.push_back(std::move(message));
}

auto LinkLoop::State::runLoop() -> void
{
    auto context = kj::setupAsyncIo();
    io = &context;
    loopOfThisThread = this;
    tasks = kj::heap<kj::TaskSet>(*this);
    while (!stopping) {
        nextTurn().wait(context.waitScope);
        runCommands();
    }
    drainConnections(context.waitScope);
    tasks = nullptr;
    listeners.clear();
    connections.clear();
    turn = nullptr;
    loopOfThisThread = nullptr;
    const std::lock_guard lock(mutex);
    wake = nullptr;
}

// A draining sidecar waits for the router's last acknowledgements, even when both are stopping.
auto LinkLoop::State::drainConnections(kj::WaitScope &scope) -> void
{
    auto &timer = io->provider->getTimer();
    const auto until = timer.now() + drainTimeout;
    while (timer.now() < until && isSending())
        timer.afterDelay(drainCheckInterval).wait(scope);
}

auto LinkLoop::State::isSending() const -> bool
{
    return std::any_of(connections.begin(), connections.end(),
                       [](const auto &entry) { return entry.second->isSending(); });
}

// Timers fire only after all sockets were polled, so a process that was held up reads what came
// meanwhile before a check counts.
auto LinkLoop::State::untilQuiet(QuietWait wait) -> kj::Promise<void>
{
    if (wait.quiet == wait.quietChecks || wait.checksLeft == 0)
        return kj::READY_NOW;
    const auto interval = quietCheckInterval.count() * kj::MICROSECONDS;
    return io->provider->getTimer().afterDelay(interval).then([this, wait]() mutable {
        const auto isQuiet = wait.received == received && !isSending();
        wait.quiet = isQuiet ? wait.quiet + 1 : 0;
        wait.received = received;
        --wait.checksLeft;
        return untilQuiet(wait);
    });
}

auto LinkLoop::State::listenNow(const core::Address &address, core::Address &bound)
    -> std::error_code
{
    auto wanted = socketAddress(address);
    if (!wanted)
        return std::make_error_code(std::errc::invalid_argument);
    const auto failure = kj::runCatchingExceptions([&] {
        auto target = io->provider->getNetwork().getSockaddr(&*wanted, sizeof(*wanted));
        auto listener = target->listen();
        bound = {address.ip, static_cast<std::uint16_t>(listener->getPort())};
        tasks->add(acceptNext(*listener));
        listeners.push_back(kj::mv(listener));
    });
    return failure == nullptr ? std::error_code() : std::make_error_code(std::errc::address_in_use);
}

auto LinkLoop::State::acceptNext(kj::ConnectionReceiver &listener) -> kj::Promise<void>
{
    return listener.accept().then(
        [this, &listener](kj::Own<kj::AsyncIoStream> stream) {
            accepted(kj::mv(stream));
            return acceptNext(listener);
        },
        // Accepting fails when file descriptors run out. Without a retry the process would look
        // healthy but never be reachable again.
        [this, &listener](kj::Exception && /*exception*/) {
            return io->provider->getTimer().afterDelay(acceptRetryDelay).then([this, &listener] {
                return acceptNext(listener);
            });
        });
}

auto LinkLoop::State::accepted(kj::Own<kj::AsyncIoStream> stream) -> void
{
    const auto link = nextLink++;
    addConnection(link, kj::mv(stream), true);
    dropUnlessUp(link);
}

auto LinkLoop::State::dropUnlessUp(LinkId link) -> void
{
    const auto timeout = limits.connectTimeout.count() * kj::MICROSECONDS;
    tasks->add(io->provider->getTimer().afterDelay(timeout).then([this, link] {
        const auto found = connections.find(link);
        const auto up = found != connections.end() && found->second->up();
        if (!up)
            broken(link);
    }));
}

auto LinkLoop::State::connect(LinkId link, const core::Address &peer) -> void
{
    auto wanted = socketAddress(peer);
    opening.emplace(link, std::vector<core::Message>());
    if (!wanted) {
        broken(link);
        return;
    }
    dropUnlessUp(link);
    auto target = io->provider->getNetwork().getSockaddr(&*wanted, sizeof(*wanted));
    auto stream = target->connect();
    tasks->add(stream
                   .then([this, link](kj::Own<kj::AsyncIoStream> opened) {
                       return connected(link, kj::mv(opened));
                   })
                   .attach(kj::mv(target))
                   .catch_([this, link](kj::Exception && /*exception*/) { broken(link); }));
}

auto LinkLoop::State::connected(LinkId link, kj::Own<kj::AsyncIoStream> stream) -> kj::Promise<void>
{
    auto waiting = opening.extract(link);
    if (waiting.empty())
        return kj::READY_NOW;
    auto &connection = addConnection(link, kj::mv(stream), false);
    for (auto &message : waiting.mapped())
        connection.enqueue(std::move(message));
    return connection.requestLink();
}

auto LinkLoop::State::addConnection(LinkId link, kj::Own<kj::AsyncIoStream> stream, bool fromPeer)
    -> Connection &
{
    ConnectionHooks reports;
    reports.onUp = [this, link] { hooks.onUp(link); };
    reports.onMessage = [this, link](core::Message message) {
        ++received;
        hooks.onMessage(link, std::move(message));
    };
    reports.onResponded = [this, link] {
        if (hooks.onResponded)
            hooks.onResponded(link);
    };
    reports.onBroken = [this, link] { broken(link); };
    // Timers fire only after all sockets were polled.
    reports.after = [this](core::Duration time) {
        return io->provider->getTimer().afterDelay(time.count() * kj::MICROSECONDS);
    };
    auto connection =
        kj::heap<Connection>(kj::mv(stream), std::move(reports), traffic, limits, fromPeer);
    auto &added = *connection;
    connections.emplace(link, kj::mv(connection));
    return added;
}

auto LinkLoop::State::broken(LinkId link) -> void
{
    const auto found = connections.find(link);
    // A peer that connected and never requested a link was not reported up.
    const auto awaitsLinkRequest = found != connections.end() && found->second->awaitsLinkRequest();
    if (remove(link) && !awaitsLinkRequest)
        hooks.onDown(link);
}

auto LinkLoop::State::runEvery(kj::Duration period, std::function<void()> task) -> kj::Promise<void>
{
    return io->provider->getTimer().afterDelay(period).then(
        [this, period, callback = std::move(task)]() mutable {
            callback();
            return runEvery(period, std::move(callback));
        });
}

auto LinkLoop::State::closeNow(LinkId link) -> void
{
    const auto found = connections.find(link);
    if (found != connections.end() && hooks.onClosed)
        hooks.onClosed(link, found->second->backlog());
    remove(link);
}

// Destroys the connection one turn later: the caller may be a promise that belongs to it.
auto LinkLoop::State::remove(LinkId link) -> bool
{
    if (opening.erase(link) != 0)
        return true;
    const auto found = connections.find(link);
    if (found == connections.end())
        return false;
    auto connection = kj::mv(found->second);
    connections.erase(found);
    tasks->add(kj::evalLater([] {}).attach(kj::mv(connection)));
    return true;
}

LinkLoop::LinkLoop(LinkHooks hooks, LinkTraffic traffic, LinkLimits limits)
    : state_(std::make_unique<State>())
{
    state_->hooks = std::move(hooks);
    state_->traffic = std::move(traffic);
    state_->limits = limits;
    state_->thread = std::thread([state = state_.get()] { state->runLoop(); });
}

LinkLoop::~LinkLoop()
{
    stop();
}

auto LinkLoop::stop() -> void
{
    if (!state_->thread.joinable())
        return;
    state_->post({0, std::nullopt, [state = state_.get()] { state->stopping = true; }});
    state_->thread.join();
}

auto LinkLoop::awaitQuiet(core::Duration quiet, core::Duration limit) -> void
{
    std::promise<void> done;
    const auto outcome = done.get_future();
    const QuietWait wait{quiet / quietCheckInterval, limit / quietCheckInterval};
    run([state = state_.get(), wait, &done](kj::AsyncIoContext & /*io*/) {
        state->tasks->add(state->untilQuiet(wait).then([&done] { done.set_value(); }));
    });
    outcome.wait();
}

auto LinkLoop::listen(const core::Address &address, core::Address &bound) -> std::error_code
{
    std::promise<std::error_code> done;
    auto outcome = done.get_future();
    state_->post({0, std::nullopt, [&] { done.set_value(state_->listenNow(address, bound)); }});
    return outcome.get();
}

auto LinkLoop::open(const core::Address &peer) -> LinkId
{
    const auto link = state_->nextLink++;
    state_->post(
        {0, std::nullopt, [state = state_.get(), link, peer] { state->connect(link, peer); }});
    return link;
}

auto LinkLoop::send(LinkId link, core::Message message) -> void
{
    state_->post({link, std::move(message), nullptr});
}

auto LinkLoop::run(std::function<void(kj::AsyncIoContext &)> task) -> void
{
    state_->post({0, std::nullopt,
                  [state = state_.get(), callback = std::move(task)] { callback(*state->io); }});
}

auto LinkLoop::every(core::Duration period, std::function<void()> task) -> void
{
    state_->post(
        {0, std::nullopt, [state = state_.get(), period, callback = std::move(task)]() mutable {
             state->tasks->add(
                 state->runEvery(period.count() * kj::MICROSECONDS, std::move(callback)));
         }});
}

auto LinkLoop::close(LinkId link) -> void
{
    state_->post({0, std::nullopt, [state = state_.get(), link] { state->closeNow(link); }});
}

} // namespace applehatch::wire
