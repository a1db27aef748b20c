/// What was sent, answered and run, in `record.txt`.
#pragma once

#include "net.h"

#include <fstream>
#include <map>
#include <mutex>
#include <string>

namespace review {

class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    auto operator=(const Record &) -> Record & = delete;

    /// Writes a line with the milliseconds since the start.
    auto note(const std::string &line) -> void;
    /// Records one request or run: as a line of its own, or, once `countOnly` was called, in a line
    /// for each second that tells how many there were of each kind.
    auto note(const std::string &kind, const std::string &line) -> void;
    auto countOnly() -> void { isCounting_ = true; }
    [[nodiscard]] auto milliseconds() const -> long;

private:
    auto write(const std::string &line) -> void;
    auto writeCounts() -> void;

    std::mutex mutex_;
    std::ofstream file_;
    Clock::time_point startedAt_ = Clock::now();
    bool isCounting_ = false;
    long second_ = 0;
    std::map<std::string, int> counts_;
};

} // namespace review
