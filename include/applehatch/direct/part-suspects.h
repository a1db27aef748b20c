/// Tracks parts of prompts on which upstreams crash.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/break-refutations.h"
#include "applehatch/direct/prompt.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace applehatch::direct {

using core::Fingerprint;
/// Identifies a part of prompts at one service: engines of another may bear it.
using PartKey = std::uint64_t;

/// Returns the keys of the parts that other prompts may share, in their order.
[[nodiscard]] auto partKeys(std::string_view service, const Prompt &prompt) -> std::vector<PartKey>;

/// An upstream broke off a request with a part.
struct PartBreak
{
    UpstreamId upstream = 0;
    Fingerprint request = 0;
    Instant sentAt;
    Instant at;
};

/// Tells peers of one break, or of an answer, or of both.
struct PartReport
{
    PartKey part = 0;
    UpstreamId upstream = 0; ///< 0 if the report is of an answer alone.
    Fingerprint request = 0; ///< The broken request that was sent there last, of those known.
    Duration sentAge{0};     ///< Time since it was sent.
    Duration age{0};         ///< Time since the break.
    /// Time since an engine began the newest sound answer to a request with the part, as far as the
    /// reporting router knows.
    std::optional<Duration> answerAge;

    auto operator==(const PartReport &) const -> bool = default;
};

/// Returns the report as it reads after `delay`.
[[nodiscard]] auto delayed(PartReport report, Duration delay) -> PartReport;

/// A change of what is believed of a part.
struct PartChange
{
    enum class Kind { Suspected, Convicted, Cleared };

    PartKey part = 0;
    Kind kind = Kind::Suspected;
    std::vector<PartBreak> breaks; ///< Those that led to it, oldest first.
    std::optional<Duration> answerAge;
};

/// Finds out which part of prompts crashes the engines that begin an answer on it.
///
/// Requests with that part need not be alike in anything else, and each crash also breaks off sound
/// requests, which share their other parts with many. A verdict on a part that many use would lock
/// out all of them, and it could not be seen to be wrong, since nothing with it would run any more.
/// So a part is judged by what it did everywhere:
///
/// - A sound answer clears it of all breaks before that answer began: it would have crashed the
///   engine. Routers tell of answers to parts that are suspected, and of no others.
/// - Only a chain counts: each break under a request that was sent after the break before it, each
///   at another upstream and under another request. Many upstreams that crash at one moment do not
///   count.
/// - Engines that end for another cause break off most of what is in use, that is, was answered
///   until the crash. Such a part is judged only when a sound answer after its first crash would
///   have shown.
/// - Requests with a suspected part that is not in use go to one engine, so that few end until it
/// is
///   judged.
/// - What one convicted part explains is not held against the parts beside it. Where nothing tells
///   parts apart, since all crashes were under requests with all of them, only such requests are
///   refused: the next without one of them tells.
/// - After a while one router may let a request with a convicted part through.
class PartSuspects
{
public:
    /// Length of the chain that makes a part suspected, so that all routers are told of it.
    static constexpr std::size_t suspicionLimit = 2;
    /// Length of the chain for which requests with the part are refused.
    static constexpr std::size_t convictionLimit = 3;
    /// So many upstreams that crash within this time of each other have a cause of their own: none
    /// of these crashes counts.
    static constexpr std::size_t massCrashSize = 5;
    static constexpr Duration massCrashTime = std::chrono::milliseconds(100);
    static constexpr Duration lifetime = std::chrono::minutes(10);
    /// After this time without a break, a request with a convicted part may be let through. Each
    /// break beyond the limit makes it `leaveGrowth` times as long.
    static constexpr Duration firstLeave = std::chrono::seconds(30);
    static constexpr int leaveGrowth = 4;
    /// A part is in use if it was answered within this time before its first crash.
    static constexpr Duration useWindow = std::chrono::seconds(10);
    /// A sound answer to a request that was sent after a crash is known to most routers by then.
    static constexpr Duration answerDelay = std::chrono::milliseconds(2500);
    /// Reports reach a peer within this time, which their ages leave out; most sooner.
    static constexpr Duration reportDelay = std::chrono::milliseconds(100);
    static constexpr Duration usualReportDelay = std::chrono::milliseconds(10);
    /// An engine that goes on with an answer for this long has borne all parts of its prompt.
    static constexpr Duration soundAnswerTime = std::chrono::milliseconds(500);
    /// Maximum number of parts with one break, and of those with more, which are not evicted by the
    /// former.
    static constexpr std::size_t capacity = 8192;
    /// Maximum number of parts of which the newest answer is remembered.
    static constexpr std::size_t answerCapacity = 16384;
    static constexpr std::size_t maxBreaks = 8;
    /// Maximum number of crashes of which the time is remembered.
    static constexpr std::size_t maxCrashes = 256;
    /// Maximum number of reports in a digest.
    static constexpr std::size_t maxReports = 8;
    /// Maximum number of reports for a peer that has just started.
    static constexpr std::size_t maxMemoryReports = 1024;
    /// A part that was cleared is reported for this long.
    static constexpr Duration reportWindow = std::chrono::seconds(3);
    /// Verdicts are renewed after this time even if nothing changed, since breaks grow old.
    static constexpr Duration maxVerdictAge = std::chrono::milliseconds(250);
    /// Up to so many suspects are judged anew at each change. With more, changes that come at short
    /// intervals share a judgement, one in `judgementShare` for each suspect: a caller decides how
    /// many parts its prompts have, and a process that only judges answers nobody.
    static constexpr std::size_t judgedAtOnce = 256;
    static constexpr Duration judgementShare = std::chrono::microseconds(10);

    /// Records that an upstream broke off a request with the part; returns what to tell of it.
    auto noteBreak(PartKey part, const PartBreak &added, Instant now) -> PartReport;
    /// Records a sound answer to a request with the part, which an engine began at `beganAt`.
    /// Returns what to tell of it, if the part was suspected.
    auto noteAnswer(PartKey part, Instant beganAt, Instant now) -> std::optional<PartReport>;
    /// Records that `upstream` answered a request that was sent at `sentAt`: its breaks before that
    /// were no crashes.
    auto noteAnswered(UpstreamId upstream, Instant sentAt, Instant now) -> void;
    /// Records a peer's report. Returns what to tell of an answer that contradicts it.
    auto notePeer(const PartReport &report, Instant now) -> std::optional<PartReport>;

    /// Returns the length of the chain of crashes under the part.
    [[nodiscard]] auto crashes(PartKey part, Instant now) const -> std::size_t;
    /// Returns the breaks that form the chain, oldest first.
    [[nodiscard]] auto chain(PartKey part, Instant now) const -> std::vector<PartBreak>;
    /// Whether requests with the part go to one upstream until the part is judged.
    [[nodiscard]] auto isConfined(PartKey part, Instant now) const -> bool;
    /// Whether requests with the part are refused, at least those with all that it came beside.
    [[nodiscard]] auto isConvicted(PartKey part, Instant now) -> bool;
    /// Whether a request that holds `parts` is refused for `part`, which is one of them.
    [[nodiscard]] auto refuses(PartKey part, const std::vector<PartKey> &parts, Instant now)
        -> bool;
    /// Whether a suspected part accounts for a crash of `upstream`, or many crashed with it.
    [[nodiscard]] auto explains(UpstreamId upstream, Instant now) -> bool;
    /// Returns the time until a request with the convicted part may be let through.
    [[nodiscard]] auto timeToLeave(PartKey part, Instant now) const -> Duration;
    /// Records that a request with the convicted part is let through.
    auto noteLeave(PartKey part, Instant now) -> void;

    /// Returns what to report in the next digest. Calls go through all that there is by turns.
    [[nodiscard]] auto nextReports(Instant now) -> std::vector<PartReport>;
    /// Returns what a peer that has just started should know.
    [[nodiscard]] auto memory(Instant now) const -> std::vector<PartReport>;
    /// Returns the changes since the last call.
    [[nodiscard]] auto takeChanges(Instant now) -> std::vector<PartChange>;

private:
    using Breaks = std::vector<PartBreak>; // Oldest first, at most one of each upstream.
    struct Crash
    {
        UpstreamId upstream = 0;
        Instant at;
    };
    /// A break that counts for the suspicion of a part.
    struct CountedBreak
    {
        PartKey part = 0;
        PartBreak known;
    };
    struct Candidate
    {
        PartKey part = 0;
        std::vector<UpstreamId> crashed; ///< The upstreams in its chain, sorted.
        bool wasAnswered = false;        ///< Whether an engine ever bore it.
    };

    [[nodiscard]] auto find(PartKey part, Instant now) const -> const Breaks *;
    /// Records a break whose times are late by up to `uncertainty`.
    auto add(PartKey part, const PartBreak &added, Duration uncertainty, Instant now) -> void;
    /// Drops the part's breaks before its newest answer. Returns whether it was suspected.
    auto clear(PartKey part, Instant now) -> bool;
    auto store(PartKey part, Breaks breaks, Instant now) -> void;
    auto noteCrash(UpstreamId upstream, Instant at) -> void;
    /// Whether many upstreams crashed at the moment `at`.
    [[nodiscard]] auto wasMassCrash(Instant at) const -> bool;
    [[nodiscard]] auto counts(const PartBreak &known, Instant now) const -> bool;
    /// Returns the chain among `breaks`, without those at upstreams in `explained`.
    [[nodiscard]] auto chainOf(const Breaks &breaks,
                               const std::unordered_set<UpstreamId> &explained, Instant now) const
        -> Breaks;
    /// Whether requests with the part were answered until `crashedAt`.
    [[nodiscard]] auto wasInUse(PartKey part, Instant crashedAt, Instant now) const -> bool;
    /// Whether the chain is long enough, and a sound answer would have shown since it began.
    [[nodiscard]] auto isProof(PartKey part, const Breaks &links, Instant now) const -> bool;
    [[nodiscard]] auto answerAge(PartKey part, Instant now) const -> std::optional<Duration>;
    [[nodiscard]] auto reportOf(PartKey part, const PartBreak &known, Instant now) const
        -> PartReport;
    [[nodiscard]] auto reportOfAnswer(PartKey part, Instant now) const -> PartReport;
    /// Whether the verdicts are to be renewed.
    [[nodiscard]] auto isJudgementDue(Instant now) const -> bool;
    /// Judges all parts anew if that is due.
    auto judge(Instant now) -> void;
    auto noteSuspicions(const std::vector<Candidate> &candidates, Instant now) -> void;
    /// Convicts those of `candidates`, which have most crashes first, that no other explains.
    auto noteConvictions(const std::vector<Candidate> &candidates, Instant now) -> void;
    /// Returns the candidates that nothing tells from this one.
    [[nodiscard]] static auto inseparableFrom(const Candidate &candidate,
                                              const std::vector<Candidate> &candidates)
        -> std::vector<PartKey>;
    auto noteChange(PartKey part, PartChange::Kind kind, Instant now) -> void;

    core::ExpiringMap<Breaks> watched_{capacity};           // Parts with one break.
    core::ExpiringMap<Breaks> suspected_{capacity};         // Parts with more.
    core::ExpiringMap<Instant> answeredAt_{answerCapacity}; // When the newest answer began.
    core::ExpiringMap<Instant> clearedAt_{capacity};        // Parts to report as cleared.
    core::ExpiringMap<Instant> leaveAt_{capacity};          // When a request was let through.
    BreakRefutations refutations_;
    std::deque<Crash> newestCrashes_; // Of each upstream the first that was noted.
    std::vector<Instant> crashTimes_; // The times of `newestCrashes_`, sorted.
    std::unordered_set<PartKey> suspicions_;
    /// Of each convicted part those that nothing tells from it.
    std::unordered_map<PartKey, std::vector<PartKey>> convictions_;
    std::vector<PartChange> changes_;
    std::optional<Instant> judgedAt_;                   // None before the first judgement.
    bool hasChanged_ = false;                           // Since the last judgement.
    std::vector<CountedBreak> reportable_;              // As of the last judgement.
    std::unordered_set<UpstreamId> suspectedUpstreams_; // As of the last judgement.
    std::size_t reportOffset_ = 0;
    std::size_t clearedOffset_ = 0;
};

} // namespace applehatch::direct
