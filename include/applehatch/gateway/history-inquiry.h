/// One inquiry into what the registry still holds of the past, for all who want to know it.
#pragma once

#include "applehatch/gateway/timer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <vector>

namespace applehatch::gateway {

using core::Instant;

/// The history is read once in the life of a process. Who asks while it is being read waits for it,
/// but not for long: the read goes on after its waiters were told.
class HistoryInquiry
{
public:
    /// Limit on waiting for the history; usually it takes some calls of 4 ms.
    static constexpr Duration maxWait = std::chrono::milliseconds(500);
    /// Delay from a failed read to the next.
    static constexpr Duration retryDelay = std::chrono::milliseconds(1000);

    explicit HistoryInquiry(boost::asio::io_context &loop);

    /// Sets what starts to read the history; it ends with `ended`.
    auto onWanted(std::function<void()> hook) -> void { hook_ = std::move(hook); }
    /// Calls back once, from the event loop, when the history was read or will not be for a while.
    auto learn(std::function<void()> done) -> void;
    /// The history has been read and applied, or could not be read.
    auto ended(bool isRead) -> void;

private:
    auto tellWaiters() -> void;

    boost::asio::io_context &loop_;
    Timer timer_;
    std::function<void()> hook_;
    std::vector<std::function<void()>> waiters_;
    bool isRead_ = false;
    bool isReading_ = false;
    Instant waitEnd_;                 // Of the read that runs.
    std::optional<Instant> nextRead_; // Not before this, since the last one failed.
};

} // namespace applehatch::gateway
