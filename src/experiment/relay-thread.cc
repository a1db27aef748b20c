#include "applehatch/experiment/relay-thread.h"

namespace applehatch::experiment {

namespace {

/// Longest wait in milliseconds, as `poll` takes it.
constexpr auto idleWait = 5;

} // namespace

RelayThread::RelayThread(core::Address address)
    : address_(std::move(address))
{ }

RelayThread::~RelayThread() = default;

auto RelayThread::setPartitioned(bool partitioned) -> void
{
    const std::lock_guard lock(mutex_);
    partitioned_ = partitioned;
}

auto RelayThread::start() -> void
{
    thread_ = std::thread([this] { loop(); });
}

auto RelayThread::stop() -> void
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    thread_.join();
}

auto RelayThread::loop() -> void
{
    std::vector<pollfd> waited;
    while (true) {
        (void)::poll(waited.data(), waited.size(), idleWait);
        const std::lock_guard lock(mutex_);
        if (stopping_) {
            return;
        }
        carry(waited);
    }
}

} // namespace applehatch::experiment
