#include "plan-program.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>

DEFINE_bool(check, false, "only check the plan");

namespace applehatch::experiment {

namespace {

auto runFile(const std::string &path, const PlanProgram &program) -> int
{
    std::ifstream file(path);
    if (!file) {
        std::fprintf(stderr, "cannot read %s\n", path.c_str());
        return 2;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto problems = program.run(text.str(), FLAGS_check);
    if (!problems.empty()) {
        std::printf("%s", settings::printProblems(problems).c_str());
        return 1;
    }
    if (FLAGS_check) {
        std::printf("accepted\n");
    }
    return 0;
}

} // namespace

auto runPlanProgram(int argc, char **argv, const PlanProgram &program) -> int
{
    gflags::SetUsageMessage(program.usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s\n", program.usage.c_str());
        return 2;
    }
    try {
        return runFile(argv[1], program);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the %s failed: %s\n", program.name.c_str(), error.what());
        return 1;
    }
}

} // namespace applehatch::experiment
