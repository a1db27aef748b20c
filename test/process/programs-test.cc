// Runs both programs as an operator does: flags, exit codes, shutdown.
#include "applehatch/experiment/process.h"
#include "applehatch/experiment/socket.h"

#include <boost/test/unit_test.hpp>

#include <csignal>

namespace applehatch::process {

namespace {

using experiment::Process;
using experiment::TemporaryFile;

constexpr int done = 0;
constexpr int settingsRefused = 1;
constexpr int usage = 2;
constexpr int cannotBind = 3;

auto routerFile(std::uint16_t callers) -> std::string
{
    const auto address = [](std::uint16_t port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    const auto silent = address(experiment::freePort("127.0.0.1"));
    return "{\"name\": \"router-1\", \"dataCenter\": \"bole\", \"callers\": " + address(callers)
        + ", \"admin\": " + address(0) + ", \"digest\": " + address(0) + ", \"settings\": " + silent
        + ", \"hostList\": " + silent + "}";
}

auto run(std::vector<std::string> arguments, const std::string &program = "applehatch-router")
    -> std::pair<int, std::string>
{
    arguments.insert(arguments.begin(), experiment::programPath(program));
    Process process(arguments);
    const auto status = process.wait();
    BOOST_REQUIRE(status);
    BOOST_TEST(!status->signalled);
    return {status->code, process.output()};
}

} // namespace

BOOST_AUTO_TEST_SUITE(programs)

BOOST_AUTO_TEST_CASE(flags_and_files_give_the_documented_exit_codes)
{
    const TemporaryFile broken("{");
    const TemporaryFile refused("{\"pools\": 5}");
    struct Row
    {
        std::vector<std::string> arguments;
        int code;
        std::string says;
    };
    const std::vector<Row> rows{
        {{"--help"}, done, "exit codes"},
        {{"--version"}, done, "0.1.0"},
        {{}, usage, "--help"},
        {{"--confg", "x"}, usage, "unknown flag"},
        {{"--config"}, usage, "needs a value"},
        {{"file"}, usage, "unexpected argument"},
        {{"--config", "/nowhere/x"}, settingsRefused, "cannot be read"},
        {{"--config", broken.path()}, settingsRefused, broken.path()},
        {{"--check", refused.path()}, settingsRefused, "pools"},
    };
    for (const auto &program : {"applehatch-router", "applehatch-sidecar"}) {
        for (const auto &row : rows) {
            const auto [code, output] = run(row.arguments, program);
            BOOST_TEST(code == row.code, program << " said " << output);
            BOOST_TEST(output.find(row.says) != std::string::npos, output);
        }
    }
    const TemporaryFile good(routerFile(0));
    BOOST_TEST(run({"--config", good.path(), "--placement=x"}).first == usage);
    BOOST_TEST(run({"--config", good.path(), "--caller_threads=x"}).first == usage);
}

// A team publishes a load bound so close to the mean that chats move away from engines with free
// slots. The file is valid, so a deployment that checks it must proceed, but the output warns.
BOOST_AUTO_TEST_CASE(a_load_multiple_that_is_too_small_is_accepted_with_a_warning)
{
    for (const auto &program : {"applehatch-router", "applehatch-sidecar"}) {
        const auto [code, output] = run({"--check", "examples/cwm-taf.jsonc"}, program);
        BOOST_TEST(code == done);
        BOOST_TEST(output.find("examples/cwm-taf.jsonc:10: pools.repairs.loadMultiple: warning: ")
                       != std::string::npos,
                   output);
        BOOST_TEST(output.find("examples/cwm-taf.jsonc: accepted\n") != std::string::npos, output);
        const auto [quietCode, quiet] = run({"--check", "examples/ledgerworks.jsonc"}, program);
        BOOST_TEST(quietCode == done);
        BOOST_TEST(quiet == "examples/ledgerworks.jsonc: accepted\n");
    }
}

// A deployment mistake gives two processes the same address. The second must exit at once with a
// distinct code; if it kept running without a port, it would look alive and serve nobody.
BOOST_AUTO_TEST_CASE(a_taken_address_is_refused_at_the_start)
{
    core::Address taken{"127.0.0.1", 0};
    const auto holder = experiment::listenOn(taken);
    const TemporaryFile file(routerFile(taken.port));
    const auto [code, output] = run({"--config", file.path()});
    BOOST_TEST(code == cannotBind);
    BOOST_TEST(output.find("event=cannot-bind") != std::string::npos);
}

// Guards against a router that a reload ends, and with it all that it serves.
BOOST_AUTO_TEST_CASE(a_reload_does_not_end_a_process)
{
    const TemporaryFile file(routerFile(0));
    Process router({experiment::programPath("applehatch-router"), "--config", file.path()});
    BOOST_REQUIRE(router.waitForLine("event=started"));
    router.signal(SIGHUP);
    BOOST_TEST(router.waitForLine("event=reload-ignored").has_value());
    BOOST_TEST(router.running());
    router.terminate();
    BOOST_TEST((router.wait() == experiment::ExitStatus{false, done}));
}

BOOST_AUTO_TEST_CASE(an_idle_process_stops_cleanly_at_the_first_signal)
{
    const TemporaryFile file(routerFile(0));
    Process router({experiment::programPath("applehatch-router"), "--config", file.path()});
    BOOST_REQUIRE(router.waitForLine("event=started"));
    router.terminate();
    const auto status = router.wait();
    BOOST_REQUIRE(status);
    BOOST_TEST(!status->signalled);
    BOOST_TEST(status->code == done);
    BOOST_TEST(router.output().find("event=stopped") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::process
