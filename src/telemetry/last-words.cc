#include "applehatch/telemetry/last-words.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <string_view>

namespace applehatch::telemetry {

namespace {

constexpr std::array fatalSignals{SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP};

std::atomic<std::size_t> requestsInFlight{0};
std::atomic<bool> isReported{false};
static_assert(std::atomic<std::size_t>::is_always_lock_free);

/// One line in a buffer of its own: nothing here allocates or locks, since a signal may come inside
/// an allocation.
class LastLine
{
public:
    explicit LastLine(std::string_view event)
    {
        add("time=");
        addTime();
        add(" level=error event=").add(event);
    }

    auto add(std::string_view text) -> LastLine &
    {
        const auto count = std::min(text.size(), text_.size() - size_ - 1);
        std::copy_n(text.begin(), count, text_.begin() + size_);
        size_ += count;
        return *this;
    }
    auto add(std::uint64_t number, std::size_t minDigits = 1) -> LastLine &
    {
        std::array<char, 20> digits{};
        auto first = digits.size();
        do {
            digits.at(--first) = static_cast<char>('0' + number % 10);
            number /= 10;
        } while (number > 0 || digits.size() - first < minDigits);
        return add({digits.data() + first, digits.size() - first});
    }
    /// Adds a text of others, in quotes.
    auto addQuoted(std::string_view text) -> LastLine &
    {
        add("\"");
        for (const auto c : text) {
            const auto isPlain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
            add(isPlain ? std::string_view(&c, 1) : std::string_view("?"));
        }
        return add("\"");
    }

    /// Writes the line if that needs no waiting.
    auto write() -> void
    {
        text_.at(size_++) = '\n';
        pollfd polled{STDOUT_FILENO, POLLOUT, 0};
        if (poll(&polled, 1, 0) == 1)
            static_cast<void>(::write(STDOUT_FILENO, text_.data(), size_));
    }

private:
    auto addTime() -> void
    {
        using namespace std::chrono;
        timespec spec{};
        clock_gettime(CLOCK_REALTIME, &spec);
        const sys_seconds now{seconds(spec.tv_sec)};
        const auto day = floor<days>(now);
        const year_month_day date(day);
        const hh_mm_ss time(now - day);
        const auto two = [this](auto number) { add(static_cast<std::uint64_t>(number), 2); };
        add(static_cast<std::uint64_t>(static_cast<int>(date.year())), 4).add("-");
        two(static_cast<unsigned>(date.month()));
        add("-");
        two(static_cast<unsigned>(date.day()));
        add("T");
        two(time.hours().count());
        add(":");
        two(time.minutes().count());
        add(":");
        two(time.seconds().count());
        constexpr auto nanosecondsPerMillisecond = nanoseconds(milliseconds(1)).count();
        add(".").add(static_cast<std::uint64_t>(spec.tv_nsec / nanosecondsPerMillisecond), 3);
        add("Z");
    }

    std::array<char, 512> text_{};
    std::size_t size_ = 0;
};

auto onFatalSignal(int number) -> void
{
    if (!isReported.exchange(true)) {
        LastLine line("ended-by-signal");
        line.add(" signal=").add(static_cast<std::uint64_t>(number));
        line.add(" inFlight=").add(requestsInFlight.load());
        line.write();
    }
    // The default action is in force again, and strikes once this handler has returned.
    static_cast<void>(std::raise(number));
}

auto onTerminate() -> void
{
    if (!isReported.exchange(true)) {
        LastLine line("ended-by-exception");
        line.add(" why=");
        try {
            if (const auto exception = std::current_exception())
                std::rethrow_exception(exception);
            line.addQuoted("no exception");
        } catch (const std::exception &exception) {
            line.addQuoted(exception.what());
        } catch (...) {
            line.addQuoted("unknown exception");
        }
        line.add(" inFlight=").add(requestsInFlight.load());
        line.write();
    }
    std::abort();
}

/// A stack of its own for the handler: the usual one may be what ran out.
auto useOwnStack() -> void
{
    constexpr std::size_t stackBytes = 65536;
    static std::array<char, stackBytes> memory;
    stack_t stack{};
    stack.ss_sp = memory.data();
    stack.ss_size = memory.size();
    static_cast<void>(sigaltstack(&stack, nullptr));
}

} // namespace

auto noteRequestsInFlight(std::size_t requests) -> void
{
    requestsInFlight.store(requests);
}

auto reportFatalEnds() -> void
{
    useOwnStack();
    std::set_terminate(onTerminate);
    for (const auto number : fatalSignals) {
        struct sigaction before
        { };
        if (sigaction(number, nullptr, &before) != 0 || before.sa_handler != SIG_DFL)
            continue;
        struct sigaction action
        { };
        action.sa_handler = onFatalSignal;
        action.sa_flags = static_cast<int>(SA_RESETHAND | SA_ONSTACK);
        static_cast<void>(sigaction(number, &action, nullptr));
    }
}

} // namespace applehatch::telemetry
