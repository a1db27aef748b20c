#include "applehatch/process/answer-memory.h"

#include "applehatch/telemetry/clock.h"
#include "applehatch/telemetry/progress.h"

#include "caller-socket.h"

#include <sys/socket.h>

#include <algorithm>
#include <map>
#include <utility>

namespace applehatch::process {

namespace {

// The heap is trimmed when this share of the memory was freed.
constexpr std::size_t freedShare = 8;
// Sockets are looked up before the answer must give way.
constexpr core::Duration lookUpTime = telemetry::Progress::stillTime / 2;

} // namespace

AnswerMemory::AnswerMemory(std::size_t limitBytes)
    : limit_(limitBytes)
{ }

auto AnswerMemory::findSockets(std::uint16_t port) -> void
{
    const std::lock_guard lock(mutex_);
    const auto isSought = [](const Answer *answer) {
        const auto time = answer->gaveWay_ ? core::Duration(0) : lookUpTime;
        return answer->socket_ < 0 && answer->isStillFor(time);
    };
    if (std::none_of(answers_.begin(), answers_.end(), isSought))
        return;
    std::map<std::string, int> sockets;
    for (auto &[socket, caller] : callerSockets(port))
        sockets.emplace(std::move(caller), socket);
    for (auto *answer : answers_) {
        const auto found = sockets.find(answer->caller_);
        if (found != sockets.end())
            answer->socket_ = found->second;
        if (answer->gaveWay_)
            answer->endStalledWrite();
    }
}

auto AnswerMemory::dropStill(std::size_t most) -> std::size_t
{
    const std::lock_guard lock(mutex_);
    std::size_t dropped = 0;
    while (dropped < most && dropStillest())
        ++dropped;
    return dropped;
}

auto AnswerMemory::trim() -> void
{
    const auto kept = [this] {
        const std::lock_guard lock(mutex_);
        return kept_;
    }();
    heap_.note(kept, limit_ / freedShare);
}

auto AnswerMemory::takeGivenWay() -> std::uint64_t
{
    const std::lock_guard lock(mutex_);
    return std::exchange(gaveWay_, 0);
}

auto AnswerMemory::dropStillest() -> bool
{
    Answer *stillest = nullptr;
    for (auto *answer : answers_) {
        const auto mayDrop = !answer->gaveWay_ && answer->socket_ >= 0
            && answer->isStillFor(telemetry::Progress::stillTime);
        if (mayDrop && (stillest == nullptr || answer->writingSince_ < stillest->writingSince_))
            stillest = answer;
    }
    if (stillest == nullptr)
        return false;
    drop(*stillest);
    return true;
}

auto AnswerMemory::dropLargest() -> void
{
    const auto largest = std::max_element(
        answers_.begin(), answers_.end(),
        [](const Answer *left, const Answer *right) { return left->kept_ < right->kept_; });
    if (largest != answers_.end() && (*largest)->kept_ > 0)
        drop(**largest);
}

// Its memory counts as free at once: the thread that serves it frees it as soon as it runs.
auto AnswerMemory::drop(Answer &answer) -> void
{
    ++gaveWay_;
    answer.gaveWay_ = true;
    kept_ -= std::exchange(answer.kept_, 0);
    answer.endStalledWrite();
    if (answer.onGivenWay_)
        answer.onGivenWay_();
}

AnswerMemory::Answer::Answer(std::shared_ptr<AnswerMemory> memory, std::string caller)
    : memory_(std::move(memory))
    , caller_(std::move(caller))
{
    const std::lock_guard lock(memory_->mutex_);
    memory_->answers_.push_back(this);
}

AnswerMemory::Answer::~Answer()
{
    const std::lock_guard lock(memory_->mutex_);
    memory_->kept_ -= kept_;
    memory_->answers_.remove(this);
}

auto AnswerMemory::Answer::keep(std::size_t bytes) -> bool
{
    const std::lock_guard lock(memory_->mutex_);
    if (gaveWay_)
        return false;
    kept_ += bytes;
    memory_->kept_ += bytes;
    while (memory_->kept_ > memory_->limit_ && memory_->dropStillest()) { }
    if (memory_->kept_ > memory_->limit_)
        memory_->dropLargest();
    return !gaveWay_;
}

auto AnswerMemory::Answer::release(std::size_t bytes) -> void
{
    const std::lock_guard lock(memory_->mutex_);
    const auto released = std::min(bytes, kept_);
    kept_ -= released;
    memory_->kept_ -= released;
}

auto AnswerMemory::Answer::hasGivenWay() const -> bool
{
    const std::lock_guard lock(memory_->mutex_);
    return gaveWay_;
}

auto AnswerMemory::Answer::onGivenWay(std::function<void()> hook) -> void
{
    const std::lock_guard lock(memory_->mutex_);
    onGivenWay_ = std::move(hook);
}

auto AnswerMemory::Answer::beginWrite() -> void
{
    writingSince_ = telemetry::steadyNow().time_since_epoch().count();
}

auto AnswerMemory::Answer::endWrite() -> void
{
    writingSince_ = 0;
}

auto AnswerMemory::Answer::endStalledWrite() const -> void
{
    if (socket_ >= 0 && writingSince_ != 0)
        ::shutdown(socket_, SHUT_RDWR);
}

auto AnswerMemory::Answer::isStillFor(core::Duration time) const -> bool
{
    const auto since = writingSince_.load();
    return since != 0
        && telemetry::steadyNow().time_since_epoch() - core::Instant::duration(since) >= time;
}

} // namespace applehatch::process
