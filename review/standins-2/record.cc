#include "record.h"

namespace review {

namespace {

constexpr long millisecondsPerSecond = 1000;

} // namespace

Record::Record(const std::string &path)
    : file_(path)
{ }

Record::~Record()
{
    writeCounts();
}

auto Record::note(const std::string &line) -> void
{
    const std::lock_guard lock(mutex_);
    write(line);
}

auto Record::note(const std::string &kind, const std::string &line) -> void
{
    const std::lock_guard lock(mutex_);
    if (!isCounting_)
        return write(line);
    const auto second = milliseconds() / millisecondsPerSecond;
    if (second != second_)
        writeCounts();
    second_ = second;
    ++counts_[kind];
}

auto Record::write(const std::string &line) -> void
{
    file_ << milliseconds() << " ms " << line << std::endl;
}

auto Record::writeCounts() -> void
{
    if (counts_.empty())
        return;
    file_ << "second " << second_ << ':';
    const auto *separator = " ";
    for (const auto &[kind, count] : counts_) {
        file_ << separator << kind << ' ' << count;
        separator = ", ";
    }
    file_ << std::endl;
    counts_.clear();
}

auto Record::milliseconds() const -> long
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - startedAt_).count();
}

} // namespace review
