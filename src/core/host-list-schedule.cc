#include "applehatch/core/host-list-schedule.h"

#include "settings-replica-calls.h"

namespace applehatch::core {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Spreads the first reads of processes that start at the same time.
constexpr Duration maxFirstWait = seconds(3);
constexpr Duration minWait = seconds(2);
/// Only the first failure is retried this soon: one lost answer must not cost a whole wait, and a
/// service that is down is not called more often.
constexpr Duration minRetryWait = milliseconds(200);
constexpr Duration maxRetryWait = milliseconds(1000);
/// One read in this many asks for the whole list, about one in nine minutes.
constexpr unsigned readsPerFullRead = 220;

} // namespace

HostListSchedule::HostListSchedule(std::uint64_t seed)
    : random_(seed)
    , readsSinceFullRead_(static_cast<unsigned>(random_() % readsPerFullRead))
{ }

auto HostListSchedule::nextWait() -> Duration
{
    switch (last_) {
    case Last::None:
        return between(Duration(0), maxFirstWait, random_);
    case Last::FirstFailure:
        return between(minRetryWait, maxRetryWait, random_);
    case Last::Read:
    case Last::Failure:
        break;
    }
    return between(minWait, maxWait, random_);
}

auto HostListSchedule::needsFullRead() const -> bool
{
    return readsSinceFullRead_ >= readsPerFullRead;
}

auto HostListSchedule::succeeded() -> void
{
    readsSinceFullRead_ = needsFullRead() ? 0 : readsSinceFullRead_ + 1;
    last_ = Last::Read;
}

auto HostListSchedule::failed() -> void
{
    last_ =
        last_ == Last::FirstFailure || last_ == Last::Failure ? Last::Failure : Last::FirstFailure;
}

} // namespace applehatch::core
