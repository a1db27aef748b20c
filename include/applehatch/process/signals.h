/// Requests to stop, as signals.
#pragma once

#include <functional>
#include <thread>

namespace applehatch::process {

/// Blocks `SIGTERM` and `SIGINT` and ignores `SIGPIPE`; call before the first thread starts.
///
/// A caller that left makes a write fail with `SIGPIPE`, which would end the process and every
/// other caller's request with it.
auto prepareSignals() -> void;

/// A thread that takes the signals with `sigwait`; `onStop` runs on it, once for each signal.
class SignalThread
{
public:
    explicit SignalThread(std::function<void()> onStop);
    ~SignalThread();
    SignalThread(const SignalThread &) = delete;
    auto operator=(const SignalThread &) -> SignalThread & = delete;

private:
    std::thread thread_;
};

} // namespace applehatch::process
