#include "applehatch/gateway/byte-budget.h"

#include <algorithm>

namespace applehatch::gateway {

ByteShare::ByteShare(ByteShare &&other) noexcept
    : budget_(std::move(other.budget_))
    , bytes_(std::exchange(other.bytes_, 0))
{ }

auto ByteShare::operator=(ByteShare &&other) noexcept -> ByteShare &
{
    if (this != &other) {
        release();
        budget_ = std::move(other.budget_);
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

auto ByteShare::resize(std::size_t bytes) -> void
{
    if (!budget_ || bytes == bytes_)
        return;
    constexpr auto small = ByteBudget::smallBytes;
    auto &large = budget_->large;
    if (bytes_ > small)
        large.erase(large.find(bytes_));
    if (bytes > small)
        large.insert(bytes);
    budget_->kept = budget_->kept - bytes_ + bytes;
    bytes_ = bytes;
}

auto ByteShare::add(std::size_t bytes) -> void
{
    resize(bytes_ + bytes);
}

auto ByteShare::release() -> void
{
    resize(0);
}

auto ByteShare::mayAdd(std::size_t bytes) const -> bool
{
    const auto all = bytes_ + bytes;
    if (!budget_ || all <= ByteBudget::smallBytes)
        return true;
    return budget_->kept + bytes <= budget_->limitFor(all);
}

auto ByteShare::canEverHold(std::size_t bytes) const -> bool
{
    return !budget_ || bytes <= std::max(ByteBudget::smallBytes, budget_->limit);
}

auto ByteShare::isLargest() const -> bool
{
    return budget_ && !budget_->large.empty() && bytes_ >= *budget_->large.rbegin();
}

auto ByteShare::noteRefused() -> void
{
    if (budget_)
        ++budget_->refused;
}

auto shrinkIfEmpty(std::string &buffer) -> void
{
    constexpr std::size_t maxIdleCapacity = 4096;
    if (buffer.empty() && buffer.capacity() > maxIdleCapacity)
        std::string().swap(buffer);
}

} // namespace applehatch::gateway
