/// Child processes of tests, ended with the object that started them.
#pragma once

#include "applehatch/experiment/eventually.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace applehatch::experiment {

/// Where the build puts programs.
[[nodiscard]] auto programPath(const std::string &name) -> std::string;

/// A file that is removed when it goes out of scope.
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &content = {});
    ~TemporaryFile();
    TemporaryFile(TemporaryFile &&other) noexcept;
    auto operator=(TemporaryFile &&) -> TemporaryFile & = delete;
    TemporaryFile(const TemporaryFile &) = delete;
    auto operator=(const TemporaryFile &) -> TemporaryFile & = delete;

    [[nodiscard]] auto path() const -> const std::string & { return path_; }
    [[nodiscard]] auto read() const -> std::string;

private:
    std::string path_;
};

/// How a child ended.
struct ExitStatus
{
    bool signalled = false;
    int code = 0; ///< The exit status, or the number of the signal.

    auto operator==(const ExitStatus &) const -> bool = default;
};

/// One child; signals go to its own process id only.
class Process
{
public:
    /// Throws `std::runtime_error` when the program cannot be started.
    explicit Process(const std::vector<std::string> &command);
    ~Process(); ///< Kills the child when it still runs.
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;

    [[nodiscard]] auto id() const -> pid_t { return id_; }
    [[nodiscard]] auto running() -> bool;

    auto signal(int number) -> void;
    auto terminate() -> void; ///< Asks it to stop in order.
    auto kill() -> void;      ///< Ends it at once, and waits for that.
    auto pause() -> void;     ///< Stops it from running until `resume`.
    auto resume() -> void;

    /// None when it still runs after `limit`.
    [[nodiscard]] auto wait(milliseconds limit = patience) -> std::optional<ExitStatus>;

    /// All that it wrote to its standard output and error so far.
    [[nodiscard]] auto output() const -> std::string { return output_.read(); }

    /// The rest of the first line that holds `start`, from there on.
    [[nodiscard]] auto waitForLine(const std::string &start, milliseconds limit = patience)
        -> std::optional<std::string>;

private:
    TemporaryFile output_;
    pid_t id_ = -1;
    std::optional<ExitStatus> status_;
};

} // namespace applehatch::experiment
