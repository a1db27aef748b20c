#include "core/router-fixture.h"

#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>

#include <map>
#include <set>
#include <sstream>

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

using Reproductions = std::unordered_map<std::string, rc::detail::Reproduce>;

constexpr std::uint64_t seed = 20261202;
constexpr int rounds = 300;
constexpr Duration step = 50ms;
constexpr Duration deadline = 20s;

/// Counts of injected faults and of outcomes. The test asserts that each of them occurred.
struct Faults
{
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t reordered = 0;
    std::uint64_t linksDown = 0;
    std::uint64_t restarts = 0;
    std::uint64_t wholeAnswers = 0;
    std::uint64_t notRun = 0;
    std::uint64_t otherFailures = 0;
};

struct FakeAnswer
{
    std::uint32_t attempt = 0;
    std::string body;
};

/// The behaviour of a sidecar towards a router: it bars the attempts that it refuses and keeps its
/// answers.
struct FakeSidecar
{
    Incarnation incarnation = 1;
    std::map<RequestId, FakeAnswer> answers;
    std::set<std::pair<RequestId, std::uint32_t>> barred;
    std::map<std::string, std::string> keys; ///< Answer body by idempotency key.
    std::set<std::string> failedKeys;
    std::set<std::pair<RequestId, std::uint32_t>> failedRuns;
};

struct PendingMessage
{
    Instant due;
    bool toRouter = true;
    UpstreamId upstream = 0;
    RouterEvent event; ///< Only the message in it is used for a sidecar.
};

/// Simulates one router and fake sidecars over a network that loses, duplicates, delays and
/// reorders messages.
class World
{
public:
    World(std::uint64_t randomSeed, Faults &faults)
        : random_(randomSeed)
        , faults_(faults)
    { }

    auto run() -> void
    {
        for (auto i = 0; i < 12; ++i) {
            submitRequest("r" + std::to_string(i));
            advance(5);
        }
        advance(static_cast<int>((deadline + 15s) / step));
        check();
    }

private:
    auto chance(std::uint64_t percent) -> bool { return random_() % 100 < percent; }

    auto submitRequest(const RequestId &id) -> void
    {
        auto request = chance(50) ? chatRequest(id, random_() % 5) : serviceRequest(id, "POST");
        if (request.terms.model.empty() && chance(50)) {
            request.terms.runOnce = true;
            request.terms.idempotencyKey = "key-" + std::to_string(random_() % 3);
            request.terms.firstSend = true;
        }
        request.call.stream = !request.terms.model.empty() && chance(70);
        request.deadline = deadline;
        submitted_.insert(id);
        execute(bench_.feed(std::move(request)));
    }

    auto advance(int steps) -> void
    {
        for (auto i = 0; i < steps; ++i) {
            bench_.now += step;
            deliver();
            if (chance(2))
                breakRandomLink();
            execute(bench_.feed(Tick{}));
        }
    }

    auto deliver() -> void
    {
        std::vector<PendingMessage> due;
        for (auto &each : network_) {
            if (each.due <= bench_.now)
                due.push_back(each);
        }
        std::erase_if(network_, [&](const auto &each) { return each.due <= bench_.now; });
        for (std::size_t i = 1; i < due.size(); ++i) {
            if (chance(30)) {
                std::swap(due[i], due[random_() % i]);
                ++faults_.reordered;
            }
        }
        for (auto &each : due) {
            if (each.toRouter)
                execute(bench_.feed(std::move(each.event)));
            else
                receive(each.upstream, std::get<FromSidecar>(each.event).message);
        }
    }

    auto sendMessage(bool toRouter, UpstreamId upstream, const RouterEvent &event,
                     bool mayFail = true) -> void
    {
        if (mayFail && chance(3)) {
            ++faults_.lost;
            return;
        }
        const auto copies = mayFail && chance(10) ? 2 : 1;
        faults_.duplicated += copies == 2 ? 1U : 0U;
        for (auto i = 0; i < copies; ++i) {
            const auto delay =
                chance(5) ? Duration(random_() % 6000000) : Duration(random_() % 80000);
            network_.push_back({bench_.now + delay, toRouter, upstream, event});
        }
    }

    auto sendToRouter(UpstreamId upstream, Message message) -> void
    {
        sendMessage(true, upstream, FromSidecar{upstream, std::move(message)});
    }

    auto breakRandomLink() -> void
    {
        if (fleet_.empty())
            return;
        auto broken = std::next(fleet_.begin(), static_cast<long>(random_() % fleet_.size()));
        ++faults_.linksDown;
        if (chance(30)) {
            ++faults_.restarts;
            const auto next = broken->second.incarnation + 1;
            broken->second = {};
            broken->second.incarnation = next;
        }
        sendMessage(true, broken->first, LinkDown{broken->first}, false);
    }

    auto execute(const std::vector<RouterAction> &actions) -> void
    {
        for (const auto &action : actions) {
            if (const auto *sending = std::get_if<SendToSidecar>(&action))
                sendMessage(false, sending->upstream,
                            FromSidecar{sending->upstream, sending->message});
            else if (const auto *opening = std::get_if<OpenLink>(&action))
                openLink(opening->upstream);
        }
    }

    auto openLink(UpstreamId upstream) -> void
    {
        const auto incarnation = fleet_[upstream].incarnation;
        if (chance(80))
            sendMessage(true, upstream, LinkUp{upstream, incarnation, bench_.now + clockOffset},
                        false);
        else if (chance(70))
            sendMessage(true, upstream, LinkDown{upstream}, false);
    }

    auto receive(UpstreamId upstream, const Message &message) -> void
    {
        auto &sidecar = fleet_[upstream];
        if (const auto *submit = std::get_if<Submit>(&message))
            receive(upstream, sidecar, *submit);
        else if (const auto *resume = std::get_if<Resume>(&message))
            receive(upstream, sidecar, *resume);
        else if (const auto *revoke = std::get_if<Revoke>(&message))
            receive(upstream, sidecar, *revoke);
        else if (std::holds_alternative<Heartbeat>(message))
            sendToRouter(upstream, Heartbeat{sidecar.incarnation, bench_.now + clockOffset});
    }

    auto receive(UpstreamId upstream, FakeSidecar &sidecar, const Submit &submit) -> void
    {
        const auto refuse = [&](ErrorKind kind, Run run) {
            sidecar.barred.insert({submit.request, submit.attempt});
            sendToRouter(upstream, refusal(submit.request, submit.attempt, kind, run, 1s));
        };
        const auto known = sidecar.answers.find(submit.request);
        if (submit.target != sidecar.incarnation)
            return refuse(ErrorKind::StaleIncarnation, Run::NotRun);
        if (known != sidecar.answers.end())
            return answer(upstream, submit.request, known->second, 0);
        if (sidecar.failedRuns.contains({submit.request, submit.attempt}))
            return refuse(ErrorKind::UpstreamFailed, Run::Ran);
        if (sidecar.barred.contains({submit.request, submit.attempt}))
            return refuse(ErrorKind::Revoked, Run::NotRun);
        if (bench_.now + clockOffset > submit.notAfter)
            return refuse(ErrorKind::DeadlineExceeded, Run::NotRun);
        const auto &key = submit.terms.idempotencyKey;
        const auto recorded = sidecar.keys.find(key);
        if (!key.empty() && recorded != sidecar.keys.end()) {
            sidecar.answers[submit.request] = {submit.attempt, recorded->second};
            bodies_[submit.request].insert(recorded->second);
            return answer(upstream, submit.request, sidecar.answers[submit.request], 0);
        }
        if (!key.empty() && sidecar.failedKeys.contains(key))
            return refuse(ErrorKind::OutcomeUnknown, Run::Ran);
        if (!key.empty() && sidecar.incarnation > 1)
            return refuse(ErrorKind::ResendWindow, Run::Unknown);
        if (chance(20))
            return refuse(ErrorKind::Overloaded, Run::NotRun);
        start(upstream, sidecar, submit);
    }

    auto start(UpstreamId upstream, FakeSidecar &sidecar, const Submit &submit) -> void
    {
        const auto &key = submit.terms.idempotencyKey;
        ++runs_[submit.request];
        if (!key.empty())
            ++keyRuns_[key];
        std::string body;
        const auto parts = random_() % 6;
        for (std::uint64_t i = 0; i < parts; ++i)
            body += "data: " + std::to_string(random_()) + (chance(50) ? "\n\n" : "\r\n\r\n");
        if (chance(5)) {
            sidecar.failedKeys.insert(key);
            sidecar.failedRuns.insert({submit.request, submit.attempt});
            return sendToRouter(
                upstream,
                refusal(submit.request, submit.attempt, ErrorKind::UpstreamFailed, Run::Ran));
        }
        bodies_[submit.request].insert(body);
        sidecar.answers[submit.request] = {submit.attempt, body};
        if (!key.empty())
            sidecar.keys[key] = body;
        answer(upstream, submit.request, sidecar.answers[submit.request], 0);
    }

    auto answer(UpstreamId upstream, const RequestId &id, const FakeAnswer &kept,
                std::uint64_t offset) -> void
    {
        const auto &body = kept.body;
        sendToRouter(upstream, Head{id, kept.attempt, 200, {}, false, false});
        while (offset < body.size()) {
            const auto size = 1 + random_() % 30;
            sendToRouter(upstream, Chunk{id, offset, body.substr(offset, size)});
            offset += std::min<std::uint64_t>(size, body.size() - offset);
        }
        sendToRouter(upstream, End{id, body.size(), stableHash(body), {}});
    }

    auto receive(UpstreamId upstream, FakeSidecar &sidecar, const Resume &resume) -> void
    {
        const auto known = sidecar.answers.find(resume.request);
        if (known != sidecar.answers.end())
            return answer(upstream, resume.request, known->second, resume.offset);
        sendToRouter(upstream, refusal(resume.request, 0, ErrorKind::AnswerLost, Run::Unknown));
    }

    auto receive(UpstreamId upstream, FakeSidecar &sidecar, const Revoke &revoke) -> void
    {
        const auto attempt = std::pair(revoke.request, revoke.attempt);
        auto run = revoke.target == sidecar.incarnation ? Run::NotRun : Run::Unknown;
        if (sidecar.answers.contains(revoke.request) || sidecar.failedRuns.contains(attempt))
            run = Run::Ran;
        else
            sidecar.barred.insert(attempt);
        sendToRouter(upstream, Revoked{revoke.request, revoke.attempt, run});
    }

    auto check() -> void
    {
        std::map<RequestId, int> ends;
        for (const auto &end : Bench::of<AnswerEnd>(bench_.all)) {
            ++ends[end.request];
            ++faults_.wholeAnswers;
            RC_ASSERT(bodies_[end.request].contains(bench_.body(end.request)));
        }
        for (const auto &failed : bench_.failures()) {
            ++ends[failed.request];
            // The simulation never corrupts a body, so each body must match its hash.
            RC_ASSERT(!failed.failure.detail.starts_with("the answer differs"));
            const auto isNotRun = failed.failure.run == Run::NotRun;
            ++(isNotRun ? faults_.notRun : faults_.otherFailures);
            if (isNotRun)
                RC_ASSERT(runs_[failed.request] == 0);
        }
        for (const auto &id : submitted_)
            RC_ASSERT(ends[id] == 1);
        for (const auto &[key, count] : keyRuns_)
            RC_ASSERT(count == 1);
        RC_ASSERT(Bench::of<AnswerChunk>(bench_.all).empty() || areOffsetsContiguous());
    }

    [[nodiscard]] auto areOffsetsContiguous() const -> bool
    {
        std::map<RequestId, std::uint64_t> next;
        for (const auto &chunk : Bench::of<AnswerChunk>(bench_.all)) {
            if (chunk.offset != next[chunk.request])
                return false;
            next[chunk.request] += chunk.data.size();
        }
        return true;
    }

    std::mt19937_64 random_;
    Faults &faults_;
    Bench bench_;
    std::map<UpstreamId, FakeSidecar> fleet_;
    std::vector<PendingMessage> network_;
    std::set<RequestId> submitted_;
    std::map<RequestId, std::set<std::string>> bodies_; ///< Bodies of all runs of a request.
    std::map<RequestId, int> runs_;
    std::map<std::string, int> keyRuns_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(router_random)

// Links break and recover, processes restart, and messages are lost, duplicated, delayed and
// reordered, all in the same run. Each caller must still get exactly one outcome: its whole answer,
// or a failure that says "not run" only if nothing ran. A keyed request runs at most once.
BOOST_AUTO_TEST_CASE(every_caller_gets_its_whole_answer_or_a_true_failure)
{
    BOOST_TEST_MESSAGE("seed " << seed << ", " << rounds << " worlds");
    Faults faults;
    const auto property = [&] {
        const auto anySeed = rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
        World(*anySeed, faults).run();
    };
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = rounds;
    params.disableShrinking = true;
    rc::detail::TestListenerAdapter listener;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params,
                                                  listener, Reproductions{});
    std::ostringstream resultText;
    rc::detail::printResultMessage(result, resultText);
    BOOST_TEST(result.is<rc::detail::SuccessResult>(), resultText.str());
    BOOST_TEST_MESSAGE("lost " << faults.lost << ", doubled " << faults.duplicated << ", crossed "
                               << faults.reordered << ", links down " << faults.linksDown
                               << ", restarts " << faults.restarts << "; whole "
                               << faults.wholeAnswers << ", not run " << faults.notRun
                               << ", other failures " << faults.otherFailures);
    for (const auto count :
         {faults.lost, faults.duplicated, faults.reordered, faults.linksDown, faults.restarts,
          faults.wholeAnswers, faults.notRun, faults.otherFailures})
        BOOST_TEST(count > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
