#include "applehatch/process/command-line.h"

#include "applehatch/settings/check.h"

#include <gflags/gflags.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>
#include <vector>

DEFINE_string(config, "", "the process's own file, JSON with comments");
DEFINE_string(check, "",
              "check a team's subtree in this file and exit; the file's stem is the team");
DECLARE_bool(help);
DECLARE_bool(version);

namespace applehatch::process {

namespace {

constexpr const char *version = APPLEHATCH_VERSION;

auto programName(settings::Role role) -> std::string
{
    return role == settings::Role::Router ? "applehatch-router" : "applehatch-sidecar";
}

auto helpText(settings::Role role) -> std::string
{
    auto text = programName(role) + " " + version;
    text += role == settings::Role::Router
        ? ": routes callers' requests to the sidecars of upstreams\n"
        : ": runs requests at the upstream beside it\n";
    text += "\n"
            "  --config FILE   run with this process file (JSON with comments)\n"
            "  --check FILE    check a team's subtree (TEAM.json) and exit\n"
            "  --version       print the version and exit\n"
            "  --help          print this and exit\n";
    if (role == settings::Role::Router) {
        text += "  --placement P   default, random, least-of-two, rendezvous-live or "
                "consistent-bounded; for experiments\n"
                "  --caller_threads N   most callers served at once (512)\n";
    }
    text +=
        "\n"
        "SIGTERM or SIGINT drains: health/ready turns 503, requests in flight finish. A second\n"
        "signal, or drainDeadlineMs, ends the process at once and logs what was cut.\n"
        "\n"
        "exit codes: 0 done, 1 settings refused, 2 usage, 3 cannot bind, 4 stopped with work cut\n";
    return text;
}

auto readFile(const std::string &path) -> std::optional<std::string>
{
    std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

auto printProblems(const std::string &path, const std::vector<settings::Problem> &problems) -> void
{
    for (const auto &problem : problems) {
        std::cerr << path;
        if (problem.line)
            std::cerr << ':' << *problem.line;
        std::cerr << ": " << problem.path << ": " << problem.expected << '\n';
    }
}

auto unreadable(const std::string &path) -> CommandLine
{
    std::cerr << path << ": cannot be read\n";
    return {nullptr, ExitCode::SettingsRefused};
}

auto checkSubtree(const std::string &path) -> CommandLine
{
    const auto text = readFile(path);
    if (!text)
        return unreadable(path);
    const auto result = settings::parseTeam(std::filesystem::path(path).stem(), *text, 1);
    printProblems(path, result.problems);
    if (!result.team)
        return {nullptr, ExitCode::SettingsRefused};
    printProblems(path, settings::settingsWarnings(*result.team, *text));
    std::cout << path << ": accepted\n";
    return {nullptr, ExitCode::Done};
}

auto readProcessFile(const std::string &path, settings::Role role) -> CommandLine
{
    const auto text = readFile(path);
    if (!text)
        return unreadable(path);
    auto result = settings::parseProcessFile(*text, role);
    printProblems(path, result.problems);
    if (!result.file)
        return {nullptr, ExitCode::SettingsRefused};
    return {std::move(result.file), ExitCode::Done};
}

// Checks the arguments and returns the first error, or nothing when every argument is a known flag
// with a valid value. gflags' own parser exits with 1 on a bad flag, which is the code for refused
// settings.
auto setFlags(const std::vector<std::string> &arguments) -> std::optional<std::string>
{
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const auto &argument = arguments[index];
        if (!argument.starts_with("--"))
            return "unexpected argument " + argument;
        const auto equals = argument.find('=');
        const auto name = argument.substr(2, equals - 2);
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
            return "unknown flag " + argument;
        std::string value = "true";
        if (equals != std::string::npos)
            value = argument.substr(equals + 1);
        else if (info.type != "bool" && ++index < arguments.size())
            value = arguments[index];
        else if (info.type != "bool")
            return argument + " needs a value";
        if (gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            return argument + " cannot be " + value;
    }
    return std::nullopt;
}

} // namespace

auto readCommandLine(int argc, char **argv, settings::Role role) -> CommandLine
{
    gflags::SetVersionString(version);
    if (const auto problem = setFlags({argv + 1, argv + argc})) {
        std::cerr << programName(role) << ": " << *problem << "; see --help\n";
        return {nullptr, ExitCode::Usage};
    }
    if (FLAGS_help) {
        std::cout << helpText(role);
        return {nullptr, ExitCode::Done};
    }
    if (FLAGS_version) {
        std::cout << programName(role) << ' ' << version << '\n';
        return {nullptr, ExitCode::Done};
    }
    if (FLAGS_config.empty() == FLAGS_check.empty()) {
        std::cerr << programName(role) << ": one of --config FILE and --check FILE; see --help\n";
        return {nullptr, ExitCode::Usage};
    }
    return FLAGS_check.empty() ? readProcessFile(FLAGS_config, role) : checkSubtree(FLAGS_check);
}

} // namespace applehatch::process
