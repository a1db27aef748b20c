#include "applehatch/clients/upstream-client.h"

#include "applehatch/emulator/engine.h"
#include "applehatch/emulator/service.h"
#include "applehatch/experiment/process.h"
#include "applehatch/experiment/socket.h"

#include "clients/one-run.h"

#include <boost/test/unit_test.hpp>

#include <future>

namespace {

using namespace applehatch;
using namespace std::chrono_literals;
using core::RunBreak;
using experiment::eventually;

constexpr auto ip = "127.0.41.2";
constexpr auto silence = 2s;

/// What one call gave.
struct Result
{
    bool warm = false;
    core::Headers headers;
    std::string body;
    std::size_t parts = 0;
    clients::CallOutcome outcome;
};

auto chatBody(std::size_t tokens, bool stream = true) -> std::string
{
    return nlohmann::json{{"model", "m"}, {"max_tokens", tokens}, {"stream", stream}}.dump();
}

auto startRun(const std::string &body, bool stream = true) -> core::StartRun
{
    core::StartRun start;
    start.request = "r-1";
    start.chat = 0xabcdef;
    start.remaining = 10s;
    start.call.method = "POST";
    start.call.path = "/v1/chat/completions";
    start.call.body = std::make_shared<const std::string>(body);
    start.call.stream = stream;
    return start;
}

auto runCall(const core::Address &upstream, const core::StartRun &start) -> Result
{
    Result result;
    clients::CallHooks hooks;
    hooks.onHead = [&](int, core::Headers headers, bool warm) {
        result.headers = std::move(headers);
        result.warm = warm;
    };
    hooks.onData = [&](const std::string &data) {
        result.body += data;
        ++result.parts;
    };
    const std::atomic<bool> never{false};
    result.outcome = clients::runOne(upstream, silence, start, hooks, never);
    return result;
}

auto quickEngine() -> emulator::EngineOptions
{
    emulator::EngineOptions options;
    options.listen.ip = ip;
    options.coldPrefill = 1ms;
    options.tokensPerSecond = 2000;
    options.stateLag = 0ms;
    options.eventDelay = 0ms;
    options.threads = 20;
    return options;
}

} // namespace

BOOST_AUTO_TEST_SUITE(emulated_upstreams)

BOOST_AUTO_TEST_CASE(engine_answers_arrive_whole_as_they_are_made)
{
    auto options = quickEngine();
    options.tokensPerSecond = 50;
    emulator::Engine engine(options);
    for (const auto stream : {true, false}) {
        const auto body = chatBody(20, stream);
        const auto result = runCall(engine.address(), startRun(body, stream));
        const emulator::EngineAnswer expected(body);
        BOOST_TEST(result.outcome.whole);
        BOOST_TEST(result.body == (stream ? expected.stream() : expected.plain()));
        BOOST_TEST(result.warm == !stream);
        BOOST_TEST((!stream || result.parts > 10U));
        for (const auto &[name, value] : result.headers) {
            BOOST_TEST(name != "Transfer-Encoding");
        }
    }
}

// A sidecar starts the next run as soon as it has the end of one. Were the end written down only
// afterwards, the record would show more runs at once than there ever were, and tests of the bound
// would blame the fleet.
BOOST_AUTO_TEST_CASE(a_run_is_over_in_the_record_before_its_caller_has_the_end)
{
    constexpr auto answers = 40;
    const experiment::TemporaryFile log;
    auto options = quickEngine();
    options.logPath = log.path();
    emulator::Engine engine(options);
    for (auto number = 0; number < answers; ++number) {
        const auto stream = number % 2 == 0;
        BOOST_TEST(runCall(engine.address(), startRun(chatBody(3, stream), stream)).outcome.whole);
        BOOST_TEST(engine.record().running() == 0U);
    }
}

// A sidecar that lost its connection asks the engine for the rest. Were the offset wrong by a
// byte, the caller's answer would hold a part twice or miss one.
BOOST_AUTO_TEST_CASE(streams_resume_at_any_offset)
{
    emulator::Engine engine(quickEngine());
    const auto body = chatBody(6);
    const auto whole = emulator::EngineAnswer(body).stream();
    auto start = startRun(body);
    BOOST_TEST(runCall(engine.address(), start).body == whole);
    for (std::size_t from = 1; from <= whole.size(); from += from + 9 < whole.size() ? 9 : 1) {
        start.resumeFrom = from;
        const auto result = runCall(engine.address(), start);
        BOOST_TEST(result.outcome.whole);
        BOOST_TEST(result.body == whole.substr(from));
    }
    BOOST_TEST(engine.record().runsAsJson()["runs"].size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancel_stops_the_stream_at_the_engine)
{
    auto options = quickEngine();
    options.tokensPerSecond = 50;
    emulator::Engine engine(options);
    const clients::UpstreamClient client(engine.address());
    auto call = std::async(std::launch::async,
                           [&] { return runCall(engine.address(), startRun(chatBody(100000))); });
    BOOST_REQUIRE(eventually([&] { return engine.record().running() == 1; }));
    BOOST_TEST(!client.cancel("r-1"));
    BOOST_TEST(!call.get().outcome.whole);
    BOOST_TEST(eventually([&] { return engine.record().running() == 0; }));
    BOOST_TEST(engine.record().runsAsJson()["runs"][0]["outcome"] == "cancelled");
}

// More callers than slots wait inside the engine. One with a larger priority must be next, or a
// caller with damp walls waits behind a night's batch.
BOOST_AUTO_TEST_CASE(engine_runs_no_more_than_its_slots_and_the_larger_priority_first)
{
    auto options = quickEngine();
    options.slots = 1;
    options.tokensPerSecond = 50;
    emulator::Engine engine(options);
    const auto submit = [&](const char *request, int priority) {
        auto start = startRun(chatBody(20));
        start.request = request;
        start.priority = priority;
        return std::async(std::launch::async,
                          [&engine, start] { return runCall(engine.address(), start); });
    };
    const clients::UpstreamClient client(engine.address());
    const auto waiting = [&](std::uint32_t count) {
        return eventually([&] { return client.state(1s).waiting == count; });
    };
    auto running = submit("first", 0);
    BOOST_REQUIRE(eventually([&] { return engine.record().running() == 1; }));
    auto later = submit("later", 1);
    BOOST_REQUIRE(waiting(1));
    auto urgent = submit("urgent", 9);
    BOOST_REQUIRE(waiting(2));
    for (auto *call : {&running, &later, &urgent}) {
        BOOST_TEST(call->get().outcome.whole);
    }
    const auto record = engine.record().runsAsJson();
    BOOST_TEST(record["highWater"] == 1);
    BOOST_TEST(record["runs"][1]["request"] == "urgent");
}

// A request crashes the engine that runs it. The connection just closes; the run must count as
// lost, since the engine had begun it, and the new life must show itself by another epoch.
BOOST_AUTO_TEST_CASE(a_crash_is_a_lost_run_and_a_new_epoch)
{
    const core::Address address{ip, experiment::freePort(ip)};
    const experiment::TemporaryFile log;
    const std::vector<std::string> command = {experiment::programPath("emulated-engine"),
                                              "--listen",
                                              std::string(ip) + ":" + std::to_string(address.port),
                                              "--threads",
                                              "8",
                                              "--log",
                                              log.path(),
                                              "--control",
                                              R"({"crashMarker":"boom","crashAfterMs":20})"};
    const clients::UpstreamClient client(address);
    experiment::Process first(command);
    BOOST_REQUIRE(first.waitForLine("ready").has_value());
    const auto before = client.state(1s);
    BOOST_TEST(before.reachable);
    const auto result = runCall(address, startRun(R"({"prompt":"boom","stream":true})"));
    BOOST_TEST((result.outcome.how == RunBreak::Lost));
    BOOST_TEST((first.wait() == experiment::ExitStatus{false, emulator::crashStatus}));
    BOOST_TEST(log.read().find(R"("op":"start")") != std::string::npos);
    BOOST_TEST(!client.state(1s).reachable);
    experiment::Process second(command);
    BOOST_REQUIRE(second.waitForLine("ready").has_value());
    BOOST_TEST(client.state(1s).epoch != before.epoch);
}

BOOST_AUTO_TEST_CASE(service_calls_pass_whole_with_their_key)
{
    emulator::PlainServiceOptions options;
    options.listen.ip = ip;
    options.threads = 8;
    emulator::PlainService service(options);
    struct Row
    {
        const char *method;
        const char *path;
        std::string body;
    };
    const auto rows = {Row{"POST", "/jobs", "{}"}, Row{"GET", "/jobs/7?full=1", ""},
                       Row{"PUT", "/jobs/7", std::string(300000, 'x')},
                       Row{"DELETE", "/jobs/7", ""}};
    for (const auto &row : rows) {
        auto start = startRun(row.body, false);
        start.call.method = row.method;
        start.call.path = row.path;
        start.call.headers = {{"idempotency-key", "k-1"}, {"Connection", "keep-alive"}};
        const auto result = runCall(service.address(), start);
        BOOST_TEST_CONTEXT(row.method)
        {
            BOOST_TEST(result.outcome.whole);
            BOOST_TEST(result.body == emulator::serviceAnswer(row.method, row.path, row.body));
        }
    }
    const auto record = service.record().runsAsJson();
    for (const auto &run : record["runs"]) {
        BOOST_TEST(run["key"] == "k-1");
        BOOST_TEST(run["request"] == "r-1");
    }
}

// Some engines refuse an order with an old fencing number and others take it. A sidecar that woke
// late must learn which happened.
BOOST_AUTO_TEST_CASE(orders_are_refused_only_where_fences_are_honoured)
{
    for (const auto honours : {true, false}) {
        auto options = quickEngine();
        options.honoursFence = honours;
        emulator::Engine engine(options);
        const clients::UpstreamClient client(engine.address());
        using core::OrderKind;
        BOOST_TEST(client.order({5, OrderKind::LoadModel, "a"}).done);
        BOOST_TEST(client.order({4, OrderKind::LoadModel, "b"}).done == !honours);
        BOOST_TEST(client.order({6, OrderKind::UnloadModel, "a"}).done);
        const auto state = client.state(1s);
        BOOST_TEST(state.fence == (honours ? 6U : 0U));
        BOOST_TEST((state.models == std::vector<std::string>(honours ? 0U : 1U, "b")));
    }
    const clients::UpstreamClient nobody({ip, experiment::freePort(ip)});
    BOOST_TEST(!nobody.order({1, core::OrderKind::LoadModel, "a"}).done);
}

BOOST_AUTO_TEST_CASE(cache_events_and_hand_over_of_a_context)
{
    auto options = quickEngine();
    options.cacheChats = 2;
    options.gapEvery = 3;
    emulator::Engine from(options);
    emulator::Engine to(options);
    const clients::UpstreamClient client(from.address());
    for (const auto chat : {1U, 2U, 3U}) {
        auto start = startRun(chatBody(1, false), false);
        start.chat = chat;
        BOOST_TEST(runCall(from.address(), start).outcome.whole);
    }
    // The third event, that chat 3 was stored, is the lost one.
    std::uint64_t sequence = 0;
    const auto events = client.cacheEvents(sequence);
    BOOST_TEST((events.stored == std::vector<core::ChatKey>{1, 2}));
    BOOST_TEST((events.evicted == std::vector<core::ChatKey>{1}));
    BOOST_TEST(events.gap);
    BOOST_TEST(sequence == 4U);
    BOOST_TEST(client.cacheEvents(sequence).stored.empty());

    BOOST_TEST(!client.handOff(3, to.address()));
    auto start = startRun(chatBody(1));
    start.chat = 3;
    BOOST_TEST(runCall(to.address(), start).warm);
    BOOST_TEST((client.handOff(1, to.address()) == std::errc::no_such_file_or_directory));
    BOOST_TEST((client.handOff(3, {ip, experiment::freePort(ip)}) == std::errc::host_unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
