/// Tracks requests under which upstreams crashed.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/break-refutations.h"
#include "applehatch/direct/part-suspects.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace applehatch::direct {

using core::Fingerprint;

/// Reports to peers that an upstream broke off while it ran a request.
struct CrashReport
{
    Fingerprint fingerprint = 0;
    UpstreamId upstream = 0;
    Duration age{0}; ///< Time since the break.
    /// Number of upstreams that broke off this request at the reporting router itself.
    std::uint32_t ownCrashes = 0;

    auto operator==(const CrashReport &) const -> bool = default;
};

/// All that a router knows of crashes, for a peer that has just started.
struct CrashMemory
{
    /// How far back it reaches: breaks before that were not noticed.
    Duration age{0};
    std::vector<CrashReport> reports;
    std::vector<PartReport> parts = {};
};

/// Records which upstreams broke off which requests, by fingerprint, as far as the fleet knows.
///
/// A request may crash every upstream that begins to run it, before or after the head of its answer
/// is sent. Its caller sends it again, to any router, and one upstream after another is down for
/// seconds. After `crashLimit` crashes the request is refused.
///
/// Connections also break without a crash: breaks that an upstream refutes do not count.
///
/// Nothing of this outlives the routers. When all of them end, requests that were refused are
/// unknown, and their callers soon send them again. So routers whose memory begins at a start are
/// careful for a while: fewer crashes make a request refused.
class CrashSuspects
{
public:
    /// Number of crashed upstreams after which a request is refused. Two may be coincidence when
    /// many upstreams fail together; three are not.
    static constexpr std::size_t crashLimit = 3;
    /// The same if something else explains the crashes, which may turn out to be wrong.
    static constexpr std::size_t explainedCrashLimit = 5;
    /// The same for crashes while the memory of crashes is new.
    static constexpr std::size_t carefulCrashLimit = 2;
    /// Callers of requests that were known before come back within their deadlines.
    static constexpr Duration carefulTime = std::chrono::seconds(30);
    static constexpr Duration lifetime = std::chrono::minutes(10);
    /// Maximum number of requests with one crash, with two, and with more. Those with more crashes
    /// are not evicted by many with fewer.
    static constexpr std::size_t capacity = 4096;
    /// Maximum number of breaks stored per request.
    static constexpr std::size_t maxBreaks = 8;
    /// Maximum number of reports given to a peer that has just started, 20 bytes each.
    static constexpr std::size_t maxMemoryReports = 4096;
    /// Maximum number of reports in a datagram to a peer.
    static constexpr std::size_t maxReports = 16;
    /// Maximum number of these about requests with more than one crash.
    static constexpr std::size_t maxRepeatedReports = 8;
    /// A request's only crash is reported for this long after it became known; further crashes are
    /// reported as long as they count.
    static constexpr Duration reportWindow = std::chrono::seconds(2);
    /// A request that was served completely this often shared the crash of another. One break uses
    /// this up.
    static constexpr std::uint32_t servesToTrust = 3;

    /// The memory of crashes begins at `startedAt`; by default it is complete.
    explicit CrashSuspects(std::optional<Instant> startedAt = std::nullopt)
        : memoryBegan_(startedAt)
    { }

    /// Records that `upstream` broke off the request. Returns whether the break counts.
    auto noteBreak(Fingerprint fingerprint, UpstreamId upstream, Instant now) -> bool;
    /// Records that the request was answered completely. Earlier crashes still count.
    auto noteServed(Fingerprint fingerprint, Instant now) -> void;
    /// Records that `upstream` answered a request that was sent at `sentAt`. Returns whether this
    /// refutes any break.
    auto noteAnswered(UpstreamId upstream, Instant sentAt, Instant now) -> bool;
    /// Whether `upstream` broke off a request at `since` or later, and answered none since.
    [[nodiscard]] auto hasBroken(UpstreamId upstream, Instant since, Instant now) const -> bool
    {
        return refutations_.hasBroken(upstream, since, now);
    }
    /// Records a peer's report. Returns whether the break was not known.
    auto notePeer(const CrashReport &report, Instant now) -> bool;

    /// Returns the number of upstreams that crashed under the request.
    [[nodiscard]] auto crashes(Fingerprint fingerprint, Instant now) const -> std::size_t;
    /// Whether the request was served so often since its last break that it shared the crash of
    /// another.
    [[nodiscard]] auto isTrusted(Fingerprint fingerprint, Instant now) const -> bool;
    /// Whether a crash of `upstream` is accounted for by something else than the request alone.
    using IsExplained = std::function<bool(UpstreamId upstream)>;
    /// Whether the request is refused. Crashes that are explained count only beyond
    /// `explainedCrashLimit`.
    [[nodiscard]] auto isSuspect(Fingerprint fingerprint, Instant now,
                                 const IsExplained &isExplained = {}) const -> bool;
    /// Returns how far back the memory of crashes reaches, at most `lifetime`.
    [[nodiscard]] auto memoryAge(Instant now) const -> Duration;
    /// Whether so little is remembered that a peer's memory is worth asking for.
    [[nodiscard]] auto isNew(Instant now) const -> bool { return memoryAge(now) < carefulTime; }
    /// Returns what a peer that has just started should know, requests with most crashes first.
    [[nodiscard]] auto memory(Instant now) const -> CrashMemory;
    /// Adds a peer's memory to this one, which then reaches back as far.
    auto adopt(const CrashMemory &memory, Instant now) -> void;
    /// Returns what to report in the next digest, including what peers reported. Calls go through
    /// all that there is by turns.
    [[nodiscard]] auto nextReports(Instant now) -> std::vector<CrashReport>;

private:
    struct Break
    {
        UpstreamId upstream = 0;
        Instant at;
        Instant learnedAt;
        bool own = false;
    };
    using Breaks = std::vector<Break>; // Oldest first.
    using BreaksByRequest = core::ExpiringMap<Breaks>;

    [[nodiscard]] auto find(Fingerprint fingerprint, Instant now) const -> const Breaks *;
    auto add(Fingerprint fingerprint, const Break &added, Instant now) -> void;
    [[nodiscard]] auto counts(const Break &known, Instant now) const -> bool;
    /// Whether the break happened while this router was careful.
    [[nodiscard]] auto isInCarefulTime(const Break &known) const -> bool;
    /// Appends reports of the newest breaks that count, at most `crashLimit`.
    auto appendReports(Fingerprint fingerprint, const Breaks &breaks, Instant now,
                       std::vector<CrashReport> &reports) const -> void;
    [[nodiscard]] auto repeatedCrashes(Instant now) const -> std::vector<CrashReport>;
    [[nodiscard]] auto recentCrashes(Instant now) const -> std::vector<CrashReport>;

    // By the number of breaks: one, two, three or more.
    std::array<BreaksByRequest, crashLimit> requests_{
        BreaksByRequest(capacity), BreaksByRequest(capacity), BreaksByRequest(capacity)};
    core::ExpiringMap<std::uint32_t> served_{capacity}; // Complete answers since the last break.
    BreakRefutations refutations_;
    std::optional<Instant> memoryBegan_; // None if nothing was forgotten.
    std::size_t repeatedOffset_ = 0;
    std::size_t recentOffset_ = 0;
};

} // namespace applehatch::direct
