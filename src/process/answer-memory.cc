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
// Answers that gave way may take this share of the memory beside all others.
constexpr std::size_t leavingShare = 4;
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
        return answer->socket_ < 0 && answer->isStillFor(lookUpTime);
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
        // Not at once: a caller that reads is told that its answer gave way.
        if (answer->gaveWay_ && answer->isStillFor(lookUpTime))
            answer->endWriteNow();
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
    Answer *largest = nullptr;
    for (auto *answer : answers_) {
        if (!answer->gaveWay_ && (largest == nullptr || answer->kept_ > largest->kept_))
            largest = answer;
    }
    if (largest != nullptr)
        drop(*largest);
}

auto AnswerMemory::drop(Answer &answer) -> void
{
    ++gaveWay_;
    answer.gaveWay_ = true;
    leaving_ += answer.kept_;
    answer.endWriteNow();
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
    release(kept_);
    const std::lock_guard lock(memory_->mutex_);
    memory_->answers_.remove(this);
}

auto AnswerMemory::Answer::keep(std::size_t bytes) -> bool
{
    const std::lock_guard lock(memory_->mutex_);
    if (gaveWay_)
        return false;
    kept_ += bytes;
    memory_->kept_ += bytes;
    while (memory_->isOver() && memory_->dropStillest()) { }
    if (memory_->isOver())
        memory_->dropLargest();
    const auto most = memory_->limit_ + memory_->limit_ / leavingShare;
    if (!gaveWay_ && memory_->kept_ > most)
        memory_->drop(*this);
    return !gaveWay_;
}

auto AnswerMemory::Answer::release(std::size_t bytes) -> void
{
    const std::lock_guard lock(memory_->mutex_);
    const auto released = std::min(bytes, kept_);
    kept_ -= released;
    memory_->kept_ -= released;
    if (gaveWay_)
        memory_->leaving_ -= released;
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

auto AnswerMemory::Answer::setSocket(int socket) -> void
{
    const std::lock_guard lock(memory_->mutex_);
    socket_ = socket;
}

auto AnswerMemory::Answer::beginWrite() -> void
{
    writingSince_ = telemetry::steadyNow().time_since_epoch().count();
}

auto AnswerMemory::Answer::endWrite() -> void
{
    writingSince_ = 0;
}

auto AnswerMemory::Answer::endWriteNow() const -> void
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
