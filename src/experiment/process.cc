#include "applehatch/experiment/process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

extern char **environ;

namespace applehatch::experiment {

auto programPath(const std::string &name) -> std::string
{
    return std::string(APPLEHATCH_PROGRAMS) + "/" + name;
}

TemporaryFile::TemporaryFile(const std::string &content)
    : path_(std::string(P_tmpdir) + "/applehatch-test-XXXXXX")
{
    const auto file = ::mkostemp(path_.data(), O_CLOEXEC);
    if (file < 0) {
        throw std::runtime_error("cannot make a temporary file");
    }
    (void)::close(file);
    std::ofstream(path_) << content;
}

TemporaryFile::~TemporaryFile()
{
    if (!path_.empty()) {
        (void)::unlink(path_.c_str());
    }
}

TemporaryFile::TemporaryFile(TemporaryFile &&other) noexcept
    : path_(std::exchange(other.path_, {}))
{ }

auto TemporaryFile::read() const -> std::string
{
    std::ifstream file(path_);
    return {std::istreambuf_iterator<char>(file), {}};
}

Process::Process(const std::vector<std::string> &command)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &argument : command) {
        arguments.push_back(const_cast<char *>(argument.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    const auto *path = output_.path().c_str();
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, path, O_WRONLY | O_APPEND, 0);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const auto failed =
        posix_spawn(&id_, arguments.front(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + command.front());
    }
}

Process::~Process()
{
    kill();
}

auto Process::running() -> bool
{
    if (status_) {
        return false;
    }
    int status = 0;
    if (::waitpid(id_, &status, WNOHANG) != id_) {
        return true;
    }
    const auto signalled = WIFSIGNALED(status);
    status_ = ExitStatus{signalled, signalled ? WTERMSIG(status) : WEXITSTATUS(status)};
    return false;
}

auto Process::signal(int number) -> void
{
    if (running()) {
        (void)::kill(id_, number);
    }
}

auto Process::terminate() -> void
{
    signal(SIGTERM);
}

auto Process::kill() -> void
{
    signal(SIGKILL);
    (void)wait();
}

// A stop signal returns before it has reached each thread. One would see a process act on news that
// was published after its pause.
auto Process::pause() -> void
{
    signal(SIGSTOP);
    siginfo_t stopped{};
    while (::waitid(P_PID, static_cast<id_t>(id_), &stopped, WSTOPPED | WEXITED | WNOWAIT) != 0
           && errno == EINTR) { }
}

auto Process::resume() -> void
{
    signal(SIGCONT);
}

auto Process::wait(milliseconds limit) -> std::optional<ExitStatus>
{
    (void)eventually([this] { return !running(); }, limit);
    return status_;
}

auto Process::waitForLine(const std::string &start, milliseconds limit)
    -> std::optional<std::string>
{
    std::optional<std::string> rest;
    const auto found = [&] {
        const auto text = output();
        const auto at = text.find(start);
        const auto end = at == std::string::npos ? at : text.find('\n', at);
        if (end != std::string::npos) {
            rest = text.substr(at + start.size(), end - at - start.size());
        }
        return rest.has_value();
    };
    (void)eventually([&] { return found() || !running(); }, limit);
    (void)found();
    return rest;
}

} // namespace applehatch::experiment
