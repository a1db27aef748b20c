#include "core/router-fixture.h"

#include "../src/core/router-body.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

} // namespace

BOOST_AUTO_TEST_SUITE(router_answers)

BOOST_AUTO_TEST_CASE(a_request_goes_to_one_sidecar_and_its_answer_back_whole)
{
    Bench bench;
    auto request = chatRequest("r1", 11);
    request.call.stream = true;
    bench.feed(request);
    const auto upstream = bench.openRequestedLink();
    const auto submits = Bench::sent<Submit>(bench.last);
    BOOST_REQUIRE(submits.size() == 1U);
    BOOST_TEST(submits[0].attempt == 1U);
    BOOST_TEST(submits[0].target == firstIncarnation);
    BOOST_TEST((submits[0].notAfter == start + clockOffset + 120s));

    bench.from(upstream, Head{"r1", 1, 200, {{"Content-Type", "text/event-stream"}}, false, true});
    const auto heads = Bench::of<AnswerHead>(bench.last);
    BOOST_REQUIRE(heads.size() == 1U);
    const auto &headers = heads[0].headers;
    const auto has = [&](const std::string &name, const std::string &value) {
        return std::find(headers.begin(), headers.end(), std::pair(name, value)) != headers.end();
    };
    BOOST_TEST(has("Applehatch-Context", formatContext({upstream, firstIncarnation})));
    BOOST_TEST(has("Applehatch-Cache", "warm"));
    BOOST_TEST(has("Applehatch-Request", "r1"));

    const std::string body = "data: a\n\ndata: b\r\n\r\ndata: [DONE]\n\n";
    bench.from(upstream, Chunk{"r1", 0, body.substr(0, 12)});
    bench.from(upstream, Chunk{"r1", 12, body.substr(12)});
    const auto chunks = Bench::of<AnswerChunk>(bench.all);
    BOOST_REQUIRE(chunks.size() == 3U);
    BOOST_TEST(chunks[1].data == "data: b\r\n\r\n");
    BOOST_TEST(chunks[1].position == formatPosition({upstream, "r1", 20}));

    bench.from(upstream, End{"r1", body.size(), stableHash(body), {}});
    BOOST_TEST(Bench::of<AnswerEnd>(bench.last).size() == 1U);
    BOOST_TEST(bench.body("r1") == body);
    BOOST_TEST(bench.node.counts().warm == 1U);

    bench.feed(CallerConsumed{"r1", body.size()});
    BOOST_TEST(bench.node.counts().inFlight == 0U);
}

BOOST_AUTO_TEST_CASE(events_are_split_at_blank_lines_however_the_bytes_arrive)
{
    const std::vector<std::pair<std::string, std::vector<std::string>>> rows = {
        {"data: a\n\ndata: b\n\n", {"data: a\n\n", "data: b\n\n"}},
        {"a\r\n\r\nb\r\n\r\n", {"a\r\n\r\n", "b\r\n\r\n"}},
        {"a\r\rb\n\n", {"a\r\r", "b\n\n"}},
        {"a\nb\n\nrest", {"a\nb\n\n", "rest"}},
        {"a\n\r\nb\r\n\n", {"a\n\r\n", "b\r\n\n"}},
        {"\n: ping\n\n", {"\n", ": ping\n\n"}},
        {"", {}},
    };
    for (const auto &[body, events] : rows) {
        for (std::size_t cut = 1; cut <= body.size() + 1; ++cut) {
            EventSplitter splitter;
            std::vector<std::string> received;
            for (std::size_t at = 0; at < body.size(); at += cut) {
                for (auto &event : splitter.append(std::string_view(body).substr(at, cut)))
                    received.push_back(std::move(event));
            }
            if (auto rest = splitter.takeRest(); !rest.empty())
                received.push_back(std::move(rest));
            BOOST_TEST(received == events, boost::test_tools::per_element());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_hash_in_parts_is_the_stable_hash)
{
    std::string body;
    BodyHash hash;
    BOOST_TEST(hash.value() == stableHash(""));
    for (auto i = 0; i < 300; ++i) {
        const auto part = std::string(static_cast<std::size_t>(i % 7), static_cast<char>(i));
        body += part;
        hash.append(part);
    }
    BOOST_TEST(hash.value() == stableHash(body));
}

// When a link is replaced, messages are reordered and repeated. A chunk that is used twice or left
// out would reach an officer as a summary that reads well and is wrong.
BOOST_AUTO_TEST_CASE(chunks_are_taken_by_offset_alone)
{
    struct Row
    {
        std::string what;
        std::vector<std::pair<std::uint64_t, std::string>> chunks;
        std::string passedOn;
        std::size_t resumes;
    };
    const std::vector<Row> rows = {
        {"in order", {{0, "ab"}, {2, "cd"}}, "abcd", 0},
        {"twice", {{0, "ab"}, {0, "ab"}, {2, "cd"}, {0, "abcd"}}, "abcd", 0},
        {"overlapping", {{0, "ab"}, {1, "bcd"}}, "abcd", 0},
        {"gap", {{2, "cd"}}, "", 1},
        {"gap seen often", {{0, "a"}, {2, "c"}, {3, "d"}}, "a", 1},
        {"gap filled", {{2, "cd"}, {0, "ab"}, {2, "cd"}}, "abcd", 1},
    };
    for (const auto &row : rows) {
        Bench bench;
        bench.feed(serviceRequest("r1", "GET"));
        const auto upstream = bench.openRequestedLink();
        bench.from(upstream, Head{"r1", 1, 200, {}, false, false});
        for (const auto &[offset, data] : row.chunks)
            bench.from(upstream, Chunk{"r1", offset, data});
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_TEST(bench.body("r1") == row.passedOn);
            const auto resumes = Bench::sent<Resume>(bench.all);
            BOOST_TEST(resumes.size() == row.resumes);
            bench.from(upstream, End{"r1", 4, stableHash("abcd"), {}});
            const auto isWhole = row.passedOn == "abcd";
            BOOST_TEST(Bench::of<AnswerEnd>(bench.last).size() == (isWhole ? 1U : 0U));
            BOOST_TEST(bench.failures().empty());
        }
    }
}

// An answer that differs from the one that the sidecar sent must end in a failure and never be
// reported as complete.
BOOST_AUTO_TEST_CASE(an_answer_that_is_not_whole_ends_in_a_failure)
{
    for (const auto &end :
         {End{"r1", 3, stableHash("abc"), {}}, End{"r1", 4, stableHash("abxd"), {}}}) {
        Bench bench;
        bench.feed(chatRequest("r1"));
        const auto upstream = bench.openRequestedLink();
        bench.from(upstream, Head{"r1", 1, 200, {}, false, false});
        bench.from(upstream, Chunk{"r1", 0, "abcd"});
        bench.from(upstream, end);
        BOOST_TEST(Bench::of<AnswerEnd>(bench.all).empty());
        BOOST_REQUIRE(bench.failures().size() == 1U);
        BOOST_TEST((bench.failures()[0].failure.kind == ErrorKind::UpstreamFailed));
        BOOST_TEST((bench.failures()[0].failure.run == Run::Ran));
    }
}

// The end of an answer overtakes its head, and the link is lost before the rest arrives. The next
// attempt gives another, possibly longer answer, which the earlier end would cut off.
BOOST_AUTO_TEST_CASE(an_end_belongs_to_its_attempt_alone)
{
    Bench bench;
    bench.feed(chatRequest("r1"));
    const auto first = bench.openRequestedLink();
    bench.from(first, End{"r1", 2, stableHash("ab"), {}});
    bench.feed(LinkDown{first});
    bench.feed(LinkDown{first});
    const auto second = bench.openRequestedLink();
    BOOST_TEST(second != first);
    bench.from(second, Head{"r1", 2, 200, {}, false, false});
    bench.from(second, Chunk{"r1", 0, "cd"});
    BOOST_TEST(bench.failures().empty());
    bench.from(second, Chunk{"r1", 2, "ef"});
    bench.from(second, End{"r1", 4, stableHash("cdef"), {}});
    BOOST_TEST(bench.body("r1") == "cdef");
    BOOST_TEST(Bench::of<AnswerEnd>(bench.last).size() == 1U);
}

// A chunk, an end or an entire submit is lost on a link that otherwise works.
BOOST_AUTO_TEST_CASE(a_resume_is_sent_for_a_silent_exchange_on_a_live_link)
{
    Bench bench;
    bench.feed(chatRequest("r1"));
    const auto upstream = bench.openRequestedLink();
    bench.advance(4900ms, {upstream});
    BOOST_TEST(Bench::sent<Resume>(bench.all).empty());
    bench.advance(200ms, {upstream});
    BOOST_TEST(Bench::sent<Resume>(bench.all).size() == 1U);
    bench.from(upstream, Head{"r1", 1, 200, {}, false, false});
    bench.from(upstream, End{"r1", 4, stableHash("abcd"), {}});
    BOOST_TEST(Bench::sent<Resume>(bench.all).size() == 1U);
    bench.advance(1s, {upstream});
    BOOST_TEST(Bench::sent<Resume>(bench.all).size() == 2U);
    bench.from(upstream, Chunk{"r1", 0, "abcd"});
    BOOST_TEST(Bench::of<AnswerEnd>(bench.last).size() == 1U);
}

BOOST_AUTO_TEST_CASE(upstream_headers_pass_except_those_of_the_router)
{
    Bench bench;
    bench.feed(chatRequest("r1"));
    const auto upstream = bench.openRequestedLink();
    bench.from(upstream,
               Head{"r1", 1, 207, {{"X-Sheet", "7"}, {"applehatch-Context", "1.1"}}, false, false});
    const auto head = Bench::of<AnswerHead>(bench.last).at(0);
    BOOST_TEST(head.status == 207);
    BOOST_TEST(head.headers.size() == 4U);
    BOOST_TEST(head.headers[0].second == "7");
    for (const auto &[name, value] : head.headers)
        BOOST_TEST(value != "1.1");
}

BOOST_AUTO_TEST_CASE(progress_is_acknowledged_in_steps_and_never_beyond_what_was_passed_on)
{
    Bench bench;
    bench.feed(chatRequest("r1"));
    const auto upstream = bench.openRequestedLink();
    bench.from(upstream, Head{"r1", 1, 200, {}, false, false});
    const std::string body(400000, 'x');
    bench.from(upstream, Chunk{"r1", 0, body});
    std::vector<std::uint64_t> acknowledged;
    for (const auto offset : {1000U, 131071U, 131072U, 140000U, 262144U, 900000U}) {
        for (const auto &message :
             Bench::sent<Acknowledge>(bench.feed(CallerConsumed{"r1", offset}))) {
            BOOST_TEST(!message.finished);
            acknowledged.push_back(message.offset);
        }
    }
    BOOST_TEST(acknowledged == (std::vector<std::uint64_t>{131072, 262144, 400000}),
               boost::test_tools::per_element());
    bench.from(upstream, End{"r1", body.size(), stableHash(body), {}});
    BOOST_TEST(Bench::sent<Acknowledge>(bench.last).at(0).finished);
}

// A sidecar that stops keeps each answer until a router acknowledges that the caller has it. If the
// router withheld that acknowledgement, every planned stop would take a minute longer.
BOOST_AUTO_TEST_CASE(the_end_of_a_short_answer_is_acknowledged_when_its_sidecar_leaves)
{
    constexpr std::size_t longAnswer = 128U << 10U;
    for (const std::size_t length : {std::size_t(5), longAnswer - 1, longAnswer}) {
        Bench bench;
        const std::string body(length, 'x');
        const auto answer = [&](const RequestId &id) {
            bench.from(bench.engines()[0].id, Head{id, 1, 200, {}, false, false});
            bench.from(bench.engines()[0].id, Chunk{id, 0, body});
            bench.from(bench.engines()[0].id, End{id, length, stableHash(body), {}});
            bench.feed(CallerConsumed{id, length});
            return Bench::sent<Acknowledge>(bench.last);
        };
        const auto leave = [&](std::uint32_t version) {
            const auto &member = bench.engines()[0];
            bench.from(member.id,
                       Refusal{"",
                               0,
                               {ErrorKind::UpstreamLeaving, Run::NotRun, "", {}},
                               0,
                               {{member.id, firstIncarnation, version, 0, 0, 8,
                                 UpstreamState::Leaving, 0us}}});
            return Bench::sent<Acknowledge>(bench.last);
        };
        bench.openAllLinks();
        for (const auto *id : {"r1", "r2"}) {
            auto request = chatRequest(id, 5);
            request.contextToken = formatContext({bench.engines()[0].id, firstIncarnation});
            bench.feed(request);
        }
        BOOST_TEST(answer("r1").size() == (length == longAnswer ? 1U : 0U));
        const auto acknowledged = leave(1);
        BOOST_REQUIRE(acknowledged.size() == (length == longAnswer ? 0U : 1U));
        for (const auto &each : acknowledged) {
            BOOST_TEST(each.request == "r1");
            BOOST_TEST(each.offset == length);
            BOOST_TEST(each.finished);
        }
        BOOST_TEST(leave(2).empty());
        const auto after = answer("r2");
        BOOST_REQUIRE(after.size() == 1U);
        BOOST_TEST(after[0].finished);
    }
}

BOOST_AUTO_TEST_CASE(a_caller_that_leaves_for_good_has_its_run_stopped)
{
    Bench bench;
    bench.feed(chatRequest("r1"));
    const auto upstream = bench.openRequestedLink();
    bench.feed(CallerDisconnected{"r1"});
    BOOST_TEST(Bench::sent<Revoke>(bench.last).at(0).attempt == 1U);
    BOOST_TEST(bench.node.counts().inFlight == 0U);
    BOOST_TEST(bench.from(upstream, Chunk{"r1", 0, "late"}).empty());
}

BOOST_AUTO_TEST_SUITE_END()
