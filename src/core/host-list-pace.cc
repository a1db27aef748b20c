#include "applehatch/core/host-list-pace.h"

#include "settings-replica-calls.h"

namespace applehatch::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Spreads the first reads of processes that start together.
constexpr Duration longestFirstWait = seconds(3);
constexpr Duration shortestWait = seconds(2);
/// One lost answer must not cost a whole wait; a service that is down is not called any faster.
constexpr Duration shortestRetryWait = milliseconds(200);
constexpr Duration longestRetryWait = milliseconds(1000);
/// Of reads, about one in nine minutes.
constexpr unsigned readsPerWhole = 220;

} // namespace

HostListPace::HostListPace(std::uint64_t seed)
    : random_(seed)
    , readsSinceWhole_(static_cast<unsigned>(random_() % readsPerWhole))
{ }

auto HostListPace::wait() -> Duration
{
    switch (last_) {
    case Last::None:
        return between(Duration(0), longestFirstWait, random_);
    case Last::FirstFailure:
        return between(shortestRetryWait, longestRetryWait, random_);
    case Last::Read:
    case Last::Failure:
        break;
    }
    return between(shortestWait, longestWait, random_);
}

auto HostListPace::wantsWhole() const -> bool
{
    return readsSinceWhole_ >= readsPerWhole;
}

auto HostListPace::succeeded() -> void
{
    readsSinceWhole_ = wantsWhole() ? 0 : readsSinceWhole_ + 1;
    last_ = Last::Read;
}

auto HostListPace::failed() -> void
{
    last_ =
        last_ == Last::FirstFailure || last_ == Last::Failure ? Last::Failure : Last::FirstFailure;
}

} // namespace applehatch::core
