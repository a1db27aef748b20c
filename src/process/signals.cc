#include "applehatch/process/signals.h"

#include "applehatch/core/log-line.h"
#include "applehatch/telemetry/logger.h"

#include <csignal>
#include <pthread.h>
#include <utility>

namespace applehatch::process {

namespace {

// Sent to the signal thread only, to make it exit.
constexpr int endThread = SIGUSR1;

auto waitedFor() -> sigset_t
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const auto signal : {SIGTERM, SIGINT, SIGHUP, endThread})
        sigaddset(&signals, signal);
    return signals;
}

auto waitForSignals(const std::function<void()> &onStop) -> void
{
    const auto signals = waitedFor();
    int signal = 0;
    while (sigwait(&signals, &signal) == 0 && signal != endThread) {
        if (signal == SIGHUP)
            telemetry::writeLog(telemetry::LogLevel::Info, core::LogLine("reload-ignored").text());
        else
            onStop();
    }
}

} // namespace

auto prepareSignals() -> void
{
    std::signal(SIGPIPE, SIG_IGN); // NOLINT(bugprone-unused-return-value): cannot fail
    const auto signals = waitedFor();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

SignalThread::SignalThread(std::function<void()> onStop)
    : thread_([handler = std::move(onStop)] { waitForSignals(handler); })
{ }

SignalThread::~SignalThread()
{
    pthread_kill(thread_.native_handle(), endThread);
    thread_.join();
}

} // namespace applehatch::process
