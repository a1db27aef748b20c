#include "applehatch/gateway/history-inquiry.h"

#include "applehatch/telemetry/clock.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace applehatch::gateway {

using telemetry::steadyNow;

HistoryInquiry::HistoryInquiry(boost::asio::io_context &loop)
    : loop_(loop)
    , timer_(loop.get_executor())
{ }

auto HistoryInquiry::learn(std::function<void()> done) -> void
{
    waiters_.push_back(std::move(done));
    const auto now = steadyNow();
    const auto isLate = isReading_ && now >= waitEnd_;
    const auto isTooSoon = now < nextRead_.value_or(now);
    if (isRead_ || !hook_ || isLate || isTooSoon)
        return tellWaiters();
    if (std::exchange(isReading_, true))
        return;
    waitEnd_ = now + maxWait;
    timer_.start(maxWait, [this] { tellWaiters(); });
    hook_();
}

auto HistoryInquiry::ended(bool isRead) -> void
{
    isReading_ = false;
    isRead_ = isRead_ || isRead;
    if (!isRead)
        nextRead_ = steadyNow() + retryDelay;
    timer_.stop();
    tellWaiters();
}

auto HistoryInquiry::tellWaiters() -> void
{
    for (auto &waiter : std::exchange(waiters_, {}))
        boost::asio::post(loop_, std::move(waiter));
}

} // namespace applehatch::gateway
