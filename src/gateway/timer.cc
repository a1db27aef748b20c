#include "applehatch/gateway/timer.h"

#include <utility>

namespace applehatch::gateway {

Timer::Timer(const boost::asio::any_io_executor &executor)
    : timer_(executor)
    , generation_(std::make_shared<std::uint64_t>(0))
{ }

Timer::~Timer()
{
    ++*generation_;
}

auto Timer::start(Duration after, std::function<void()> action) -> void
{
    const auto started = ++*generation_;
    timer_.expires_after(after);
    timer_.async_wait([generation = generation_, started,
                       action = std::move(action)](boost::system::error_code error) {
        if (!error && *generation == started)
            action();
    });
}

auto Timer::stop() -> void
{
    ++*generation_;
    timer_.cancel();
}

} // namespace applehatch::gateway
