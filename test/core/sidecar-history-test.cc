#include "core/sidecar-fixture.h"

#include <rapidcheck.h>

#include <array>
#include <map>
#include <set>
#include <utility>

using namespace applehatch::core;
using namespace applehatch::core::test::sidecar;

namespace {

constexpr std::array<std::uint64_t, 4> historySeeds{20261202, 1, 2, 3};
constexpr int histories = 1500;
constexpr LinkId links = 3;

/// One random step: which event happens, to which request, over which link.
struct Step
{
    int event;
    int subject;
    LinkId link;
};

auto operator<<(std::ostream &os, const Step &step) -> std::ostream &
{
    return os << '{' << step.event << ',' << step.subject << ',' << step.link << '}';
}

/// Drives one sidecar through random steps and checks its messages against the runs that it
/// started.
class History
{
public:
    explicit History(bool keyed)
        : keyed_(keyed)
        , sidecar_(makePool())
    {
        sidecar_.give(PeerLinkUp{2}).give(PeerLinkUp{3});
        sidecar_.receiveLoad(1, 3).receiveLoad(2, 3);
        check();
    }

    auto apply(const Step &step) -> void
    {
        for (const auto link : std::exchange(closed_, {})) {
            received_.erase(link);
            sidecar_.give(PeerLinkUp{link});
        }
        const auto request = "r" + std::to_string(step.subject);
        const auto attempt = static_cast<std::uint32_t>(1 + step.event % 2);
        switch (step.event / 2) {
        case 0:
        case 1:
        case 2:
            submit(request, attempt, step);
            break;
        case 3:
            sidecar_.from(Revoke{request, attempt, 7}, step.link);
            break;
        case 4:
            sidecar_.from(Resume{request, "tai/c1", 0}, step.link);
            break;
        case 5:
            sidecar_.from(Acknowledge{request, 1000, true}, step.link);
            break;
        case 6:
            sidecar_.give(PeerLinkDown{step.link});
            check();
            sidecar_.give(PeerLinkUp{step.link});
            received_.erase(step.link);
            break;
        case 7:
            sidecar_.pass(step.subject % 2 == 0 ? 200ms : 4s);
            sidecar_.receiveLoad(1, 3).receiveLoad(2, 3);
            break;
        case 8:
            breakRun(step);
            break;
        default:
            continueRun(step);
            break;
        }
        check();
    }

    [[nodiscard]] auto runs() const -> std::size_t { return started_.size(); }
    [[nodiscard]] auto ends() const -> std::size_t { return ends_; }
    [[nodiscard]] auto notRuns() const -> std::size_t { return reportedNotRun_.size(); }

private:
    using Attempt = std::pair<RequestId, std::uint32_t>;

    struct Started
    {
        Attempt attempt;
        std::size_t sentBytes = 0;
        bool neverSent = false;
        bool broken = false;
    };

    static auto makePool() -> Pool
    {
        auto pool = poolOf(3, 2);
        pool.kind = applehatch::settings::PoolKind::Service;
        pool.loadMultiple = 1.5;
        return pool;
    }

    // Several requests share one key.
    static auto keyOf(const RequestId &request) -> std::string
    {
        return "k" + std::to_string((request.back() - '0') % 2);
    }

    auto submit(const RequestId &request, std::uint32_t attempt, const Step &step) -> void
    {
        auto message = keyed_ ? sidecar_.keyed(request, keyOf(request)) : sidecar_.request(request);
        // The submit may have been in flight for a long time, so its deadline is close.
        message.notAfter = Instant{1000s} + 40s;
        message.attempt = attempt;
        message.call.path = request + '/' + std::to_string(attempt);
        if (keyed_)
            message.target = 0;
        const auto bound = sidecar_.node().counts().bound;
        const auto before = load();
        sidecar_.from(message, step.link);
        if (load() > before)
            RC_ASSERT(load() <= bound);
    }

    auto load() -> std::uint64_t
    {
        const auto counts = sidecar_.node().counts();
        return counts.running + counts.waiting;
    }

    static auto bodyOf(RunId run) -> std::string { return "body of " + std::to_string(run); }

    // Returns one of the most recently started runs.
    auto recentRun(const Step &step) -> std::map<RunId, Started>::iterator
    {
        const auto back =
            1 + static_cast<std::size_t>(step.subject) % std::min<std::size_t>(4, started_.size());
        return std::prev(started_.end(), static_cast<std::ptrdiff_t>(back));
    }

    auto continueRun(const Step &step) -> void
    {
        if (started_.empty())
            return;
        const auto item = recentRun(step);
        const auto body = bodyOf(item->first);
        auto &sentBytes = item->second.sentBytes;
        if (sentBytes == body.size()) {
            sidecar_.give(RunEnd{item->first});
            return;
        }
        if (sentBytes == 0)
            sidecar_.give(RunHead{item->first, 200, {}, false});
        const auto part = body.substr(sentBytes, 5);
        sentBytes += part.size();
        check();
        sidecar_.give(RunChunk{item->first, part});
    }

    auto breakRun(const Step &step) -> void
    {
        if (started_.empty())
            return;
        const auto item = recentRun(step);
        const auto isFresh = item->second.sentBytes == 0 && !item->second.broken;
        const auto how = isFresh && step.link == 1 ? RunBreak::NeverSent
            : step.link == 2                       ? RunBreak::Lost
                                                   : RunBreak::EndedEarly;
        item->second.neverSent = item->second.neverSent || how == RunBreak::NeverSent;
        item->second.broken = true;
        sidecar_.give(RunBroken{item->first, how});
    }

    // Checks all actions of the node since the last check.
    auto check() -> void
    {
        for (; checked_ < sidecar_.all.size(); ++checked_) {
            const auto &action = sidecar_.all[checked_];
            if (const auto *start = std::get_if<StartRun>(&action))
                checkStart(*start);
            else if (const auto *send = std::get_if<SendToPeer>(&action))
                checkSent(*send);
            else if (const auto *close = std::get_if<ClosePeer>(&action))
                closed_.insert(close->link);
        }
        RC_ASSERT(sidecar_.node().counts().running <= 2U);
    }

    auto checkStart(const StartRun &start) -> void
    {
        const auto slash = start.call.path.find('/');
        const Attempt attempt{start.call.path.substr(0, slash),
                              std::stoul(start.call.path.substr(slash + 1))};
        // This attempt was reported as not run.
        RC_ASSERT(!reportedNotRun_.contains(attempt));
        for (const auto &[run, other] : started_) {
            const auto isSame = keyed_ ? keyOf(other.attempt.first) == keyOf(attempt.first)
                                       : other.attempt == attempt;
            RC_ASSERT(!isSame || other.neverSent);
        }
        started_[start.run] = {attempt, 0, false, false};
    }

    auto checkNotRun(const RequestId &request, std::uint32_t attempt, Run run) -> void
    {
        if (run != Run::NotRun)
            return;
        for (const auto &[id, started] : started_)
            RC_ASSERT(started.attempt != Attempt(request, attempt) || started.neverSent);
        reportedNotRun_.insert({request, attempt});
    }

    auto checkSent(const SendToPeer &send) -> void
    {
        if (const auto *refusal = std::get_if<Refusal>(&send.message)) {
            checkNotRun(refusal->request, refusal->attempt, refusal->failure.run);
            RC_ASSERT(refusal->failure.retryAfter.has_value());
        } else if (const auto *revoked = std::get_if<Revoked>(&send.message)) {
            checkNotRun(revoked->request, revoked->attempt, revoked->run);
        } else if (const auto *head = std::get_if<Head>(&send.message)) {
            received_[send.link][head->request].clear();
        } else if (const auto *chunk = std::get_if<Chunk>(&send.message)) {
            auto &body = received_[send.link][chunk->request];
            RC_ASSERT(chunk->offset == body.size());
            body += chunk->data;
        } else if (const auto *end = std::get_if<End>(&send.message)) {
            ++ends_;
            const auto &body = received_[send.link][end->request];
            RC_ASSERT(end->length == body.size());
            RC_ASSERT(end->hash == stableHash(body));
            RC_ASSERT(isBodyOfItsRun(end->request, body));
        }
    }

    auto isBodyOfItsRun(const RequestId &request, const std::string &body) -> bool
    {
        return std::any_of(started_.begin(), started_.end(), [&](const auto &item) {
            const auto &ran = item.second.attempt.first;
            const auto matches = keyed_ ? keyOf(ran) == keyOf(request) : ran == request;
            return matches && bodyOf(item.first) == body;
        });
    }

    bool keyed_;
    Sidecar sidecar_;
    std::size_t checked_ = 0;
    std::map<RunId, Started> started_;
    std::set<Attempt> reportedNotRun_;
    std::map<LinkId, std::map<RequestId, std::string>> received_;
    std::set<LinkId> closed_; // Links closed by the node; reopened before the next step.
    std::size_t ends_ = 0;
};

auto genSteps() -> rc::Gen<std::vector<Step>>
{
    constexpr int kinds = 26;
    constexpr int subjects = 6;
    return rc::gen::container<std::vector<Step>>(
        rc::gen::build<Step>(rc::gen::set(&Step::event, rc::gen::inRange(0, kinds)),
                             rc::gen::set(&Step::subject, rc::gen::inRange(0, subjects)),
                             rc::gen::set(&Step::link, rc::gen::inRange<LinkId>(1, links + 1))));
}

} // namespace

BOOST_AUTO_TEST_SUITE(sidecar_history)

// Submits, revokes and resumes arrive late, twice and out of order, links break, runs break. In any
// order: no key runs twice, a request that ran is never reported as not run, and an answer is
// complete.
BOOST_AUTO_TEST_CASE(random_histories_keep_the_promises)
{
    for (const auto seed : historySeeds) {
        for (const auto keyed : {false, true}) {
            std::size_t runs = 0;
            std::size_t ends = 0;
            std::size_t notRuns = 0;
            rc::detail::TestParams params;
            params.seed = seed;
            params.maxSuccess = histories;
            params.maxSize = 150;
            const auto result = rc::detail::checkTestable(
                [&] {
                    History history(keyed);
                    for (const auto &step : *genSteps())
                        history.apply(step);
                    runs += history.runs();
                    ends += history.ends();
                    notRuns += history.notRuns();
                },
                rc::detail::TestMetadata(), params);
            BOOST_TEST_MESSAGE("seed " << seed << " keyed " << keyed << ": " << runs << " runs, "
                                       << ends << " ends, " << notRuns << " not run");
            std::ostringstream text;
            rc::detail::printResultMessage(result, text);
            BOOST_TEST(result.template is<rc::detail::SuccessResult>(), text.str());
            BOOST_TEST(runs > 1000U);
            BOOST_TEST(ends > 1000U);
            BOOST_TEST(notRuns > 1000U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
