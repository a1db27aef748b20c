/// Handling of the signals that operators send.
#pragma once

#include <functional>
#include <thread>

namespace applehatch::process {

/// Blocks `SIGTERM`, `SIGINT` and `SIGHUP` and ignores `SIGPIPE`; call before the first thread
/// starts.
///
/// A write to a caller that has disconnected raises `SIGPIPE`, which would terminate the process
/// and with it every other caller's request.
auto prepareSignals() -> void;

/// Thread that receives the signals with `sigwait`. It calls `onStop` once per `SIGTERM` or
/// `SIGINT` and logs a `SIGHUP`: settings arrive without a reload.
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
