#include "applehatch/process/body-memory.h"

#include "applehatch/telemetry/clock.h"

#include <algorithm>
#include <utility>

namespace applehatch::process {

namespace {

// Whoever waits for room looks for it this often.
constexpr core::Duration checkInterval = std::chrono::milliseconds(20);

} // namespace

BodyMemory::BodyMemory(std::size_t limitBytes, std::size_t maxReading)
    : limit_(limitBytes)
    , maxReading_(std::max<std::size_t>(1, maxReading))
{ }

auto BodyMemory::takeGivenWay() -> GivenWay
{
    const std::lock_guard lock(mutex_);
    return std::exchange(gaveWay_, {});
}

auto BodyMemory::dropStill() -> void
{
    const auto latest = telemetry::steadyNow() - telemetry::Progress::stillTime;
    Body *stillest = nullptr;
    for (auto *body : bodies_) {
        const auto isStill = !body->isWaiting_ && !body->gaveWay_ && body->progress_.at() <= latest;
        if (isStill && (stillest == nullptr || body->progress_.at() < stillest->progress_.at()))
            stillest = body;
    }
    if (stillest == nullptr)
        return;
    stillest->gaveWay_ = true;
    ++gaveWay_.bodies;
    stillest->giveWay_();
}

BodyMemory::Body::Body(BodyMemory &memory, std::function<void()> giveWay)
    : memory_(memory)
    , giveWay_(std::move(giveWay))
{ }

BodyMemory::Body::~Body()
{
    const std::lock_guard lock(memory_.mutex_);
    stopReading();
    memory_.kept_ -= kept_;
    memory_.freed_.notify_all();
}

auto BodyMemory::Body::fits(std::size_t bytes) const -> bool
{
    const auto hasPlace = isReading_ || memory_.reading_ < memory_.maxReading_;
    const auto hasRoom = bytes <= smallBytes || memory_.kept_ - kept_ + bytes <= memory_.limit_;
    return hasPlace && hasRoom;
}

auto BodyMemory::Body::keep(std::size_t bytes) -> bool
{
    std::unique_lock lock(memory_.mutex_);
    isWaiting_ = true;
    while (!gaveWay_ && !fits(bytes) && waited_ < maxWait) {
        memory_.dropStill();
        const auto since = telemetry::steadyNow();
        memory_.freed_.wait_for(lock, checkInterval);
        waited_ += telemetry::steadyNow() - since;
    }
    isWaiting_ = false;
    if (gaveWay_)
        return false;
    if (!fits(bytes)) {
        ++memory_.gaveWay_.refused;
        return false;
    }
    if (!std::exchange(isReading_, true)) {
        ++memory_.reading_;
        memory_.bodies_.push_back(this);
    }
    memory_.kept_ = memory_.kept_ - kept_ + bytes;
    kept_ = bytes;
    progress_.restart();
    return true;
}

auto BodyMemory::Body::noteReceived(std::size_t bytes) -> void
{
    const std::lock_guard lock(memory_.mutex_);
    progress_.note(bytes);
}

auto BodyMemory::Body::endReading() -> void
{
    const std::lock_guard lock(memory_.mutex_);
    stopReading();
}

auto BodyMemory::Body::stopReading() -> void
{
    if (!std::exchange(isReading_, false))
        return;
    --memory_.reading_;
    memory_.bodies_.remove(this);
    memory_.freed_.notify_all();
}

auto BodyMemory::Body::hasGivenWay() const -> bool
{
    const std::lock_guard lock(memory_.mutex_);
    return gaveWay_;
}

} // namespace applehatch::process
