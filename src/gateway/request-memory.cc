#include "applehatch/gateway/request-memory.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/heap.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace applehatch::gateway {

namespace {

// The heap is trimmed when this share of the memory for requests was freed.
constexpr std::size_t freedShare = 8;

} // namespace

// The requests that are being read, and who of them waits.
struct RequestMemory::State : std::enable_shared_from_this<State>
{
    State(boost::asio::io_context &io, ByteBudget &memory)
        : loop(io)
        , timer(io.get_executor())
        , budget(&memory)
    { }

    /// Looks for room now, and again as long as somebody waits or too much is held.
    auto settle() -> void;
    auto settleLater() -> void;
    /// Looks for room before the loop comes to further sockets than it has found ready.
    auto settleNext() -> void;
    /// Grants room to those who wait, in the order of their beginnings, as far as there is any.
    auto grantWaiting() -> void;
    /// Lets requests that stand still give way until `isDone`, the one that does so longest first.
    /// Only such that hold more than `leastBytes`.
    auto dropStill(std::size_t leastBytes, const std::function<bool()> &isDone) -> void;
    auto grant(Reading &reading) -> bool;
    auto giveWay(Reading &reading) -> void;
    /// Refuses the youngest of those who wait while all hold more than those of usual size may.
    auto shedWaiting() -> void;
    [[nodiscard]] auto isOver() const -> bool { return budget->kept() > budget->limit(); }
    [[nodiscard]] auto isFarOver() const -> bool
    {
        return budget->kept() > budget->limitFor(ByteBudget::usualBytes);
    }

    std::list<Reading *> readings; // In the order of their beginnings.
    std::size_t waiting = 0;
    std::size_t heldByWaiting = 0; // Bytes that have come of those who wait.
    std::size_t givenWay = 0;
    std::size_t freed = 0; // By requests that gave way, since the heap was trimmed.
    bool isNext = false;
    boost::asio::io_context &loop;
    Timer timer;
    ByteBudget *budget; // Null once the memory is gone.
};

RequestMemory::RequestMemory(boost::asio::io_context &loop, std::size_t limitBytes)
    : budget_(limitBytes)
    , state_(std::make_shared<State>(loop, budget_))
{ }

RequestMemory::~RequestMemory()
{
    state_->timer.stop();
    state_->budget = nullptr;
}

auto RequestMemory::takeGivenWay() -> std::size_t
{
    return std::exchange(state_->givenWay, 0);
}

auto RequestMemory::State::settleLater() -> void
{
    timer.start(ByteBudget::checkInterval, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->settle();
    });
}

auto RequestMemory::State::settleNext() -> void
{
    if (std::exchange(isNext, true))
        return;
    // Not by a timer: with many sockets ready, the loop comes to it behind all of them.
    boost::asio::post(loop, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->isNext = false;
        self->settle();
    });
}

auto RequestMemory::State::settle() -> void
{
    if (budget == nullptr)
        return;
    if (isOver())
        dropStill(ByteBudget::smallBytes, [this] { return !isOver(); });
    if (isFarOver())
        dropStill(0, [this] { return !isFarOver(); });
    grantWaiting();
    if (isFarOver())
        shedWaiting();
    // A crowd that comes, is refused and comes again is faster than any regular trim.
    if (freed > budget->limit() / freedShare) {
        freed = 0;
        telemetry::trimHeap();
    }
    if (waiting > 0 || isOver())
        settleLater();
}

auto RequestMemory::State::grantWaiting() -> void
{
    auto isUsualOnly = false; // A large one waits for its room, which those of usual size need not.
    for (auto most = waiting; most > 0; --most) {
        // Granting may end readings, so each turn looks for the first.
        const auto first =
            std::find_if(readings.begin(), readings.end(), [isUsualOnly](const Reading *each) {
                const auto isUsual = each->wanted_ <= ByteBudget::usualBytes;
                return each->isWaiting() && (isUsual || !isUsualOnly);
            });
        if (first == readings.end())
            return;
        if (grant(**first))
            continue;
        if ((*first)->wanted_ <= ByteBudget::usualBytes)
            return;
        isUsualOnly = true;
    }
}

auto RequestMemory::State::grant(Reading &reading) -> bool
{
    if (!reading.fits(reading.wanted_))
        dropStill(ByteBudget::smallBytes, [&reading] { return reading.fits(reading.wanted_); });
    if (!reading.fits(reading.wanted_))
        return false;
    reading.noteGranted();
    const auto granted = reading.hooks_.granted;
    granted();
    return true;
}

auto RequestMemory::State::dropStill(std::size_t leastBytes, const std::function<bool()> &isDone)
    -> void
{
    const auto latest = telemetry::steadyNow() - telemetry::Progress::stillTime;
    std::vector<Reading *> still;
    for (auto *each : readings) {
        if (!each->isWaiting() && each->progressAt() <= latest && each->kept_.bytes() > leastBytes)
            still.push_back(each);
    }
    std::stable_sort(still.begin(), still.end(), [](const Reading *a, const Reading *b) {
        return a->progressAt() < b->progressAt();
    });
    for (auto *each : still) {
        if (isDone())
            return;
        giveWay(*each);
    }
}

auto RequestMemory::State::shedWaiting() -> void
{
    std::vector<Reading *> waiters;
    std::copy_if(readings.begin(), readings.end(), std::back_inserter(waiters),
                 [](const Reading *each) { return each->isWaiting(); });
    while (isFarOver() && !waiters.empty()) {
        giveWay(*waiters.back());
        waiters.pop_back();
    }
}

auto RequestMemory::State::giveWay(Reading &reading) -> void
{
    ++givenWay;
    freed += reading.kept_.bytes();
    const auto hook = reading.hooks_.giveWay; // Destroys the reading.
    hook();
}

RequestMemory::Reading::Reading(const RequestMemory &memory, Hooks hooks)
    : state_(memory.state_)
    , hooks_(std::move(hooks))
    , kept_(memory.budget_)
    , place_(state_->readings.insert(state_->readings.end(), this))
{ }

RequestMemory::Reading::~Reading()
{
    if (isWaiting())
        stopWaiting();
    state_->readings.erase(place_);
}

auto RequestMemory::Reading::fits(std::size_t bytes) const -> bool
{
    const auto *budget = state_->budget;
    const auto own = kept_.bytes();
    if (budget == nullptr || bytes <= std::max(own, ByteBudget::smallBytes))
        return true;
    // What others hold who wait is left out: they may wait for one another.
    const auto ownElsewhere = isWaiting() ? 0 : own;
    const auto byOthers = budget->kept() - state_->heldByWaiting - ownElsewhere;
    return byOthers + bytes <= budget->limitFor(bytes);
}

auto RequestMemory::Reading::hold(std::size_t bytes, std::size_t present) -> bool
{
    // Those who wait come before others that want more, unless these are of usual size.
    const auto mayPass =
        state_->waiting == 0 || bytes <= std::max(kept_.bytes(), ByteBudget::usualBytes);
    if (!mayPass || !fits(bytes)) {
        startWaiting(bytes, present);
        return false;
    }
    kept_.resize(bytes);
    if (state_->budget != nullptr && state_->isOver())
        state_->settleNext();
    return true;
}

auto RequestMemory::Reading::startWaiting(std::size_t bytes, std::size_t present) -> void
{
    wanted_ = bytes;
    ++state_->waiting;
    kept_.resize(std::max(kept_.bytes(), present));
    state_->heldByWaiting += kept_.bytes();
    state_->settleNext();
}

auto RequestMemory::Reading::stopWaiting() -> std::size_t
{
    --state_->waiting;
    state_->heldByWaiting -= kept_.bytes();
    return std::exchange(wanted_, 0);
}

auto RequestMemory::Reading::noteGranted() -> void
{
    kept_.resize(stopWaiting());
    progress_.restart();
}

} // namespace applehatch::gateway
