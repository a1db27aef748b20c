/// Handling of the signals that stop the process.
#pragma once

#include <functional>
#include <thread>

namespace applehatch::process {

/// Blocks `SIGTERM` and `SIGINT` and ignores `SIGPIPE`; call before the first thread starts.
///
/// A write to a caller that has disconnected raises `SIGPIPE`, which would terminate the process
/// and with it every other caller's request.
auto prepareSignals() -> void;

/// Thread that receives the signals with `sigwait` and calls `onStop` once per signal.
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
