#include "applehatch/gateway/timer.h"

#include <utility>

namespace applehatch::gateway {

Timer::Timer(const boost::asio::any_io_executor &executor)
    : timer_(executor)
    , turn_(std::make_shared<std::uint64_t>(0))
{ }

Timer::~Timer()
{
    ++*turn_;
}

auto Timer::start(Duration after, std::function<void()> action) -> void
{
    const auto own = ++*turn_;
    timer_.expires_after(after);
    timer_.async_wait(
        [turn = turn_, own, action = std::move(action)](boost::system::error_code error) {
            if (!error && *turn == own)
                action();
        });
}

auto Timer::stop() -> void
{
    ++*turn_;
    timer_.cancel();
}

} // namespace applehatch::gateway
