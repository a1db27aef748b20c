/// Whether a request is taken at all, and when a caller that is turned away should come back.
#pragma once

#include "applehatch/direct/directory.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace applehatch::direct {

/// What a request asks for, as far as its admission depends on it.
struct AdmissionAsk
{
    std::string service;
    std::string customer;
    int priority = 0;      ///< 0 is the most urgent.
    int routePriority = 0; ///< Decides among requests of the same priority.
    Duration objective{0}; ///< An answer that begins later is of little use; 0 when not told.
};

/// The upstream that would get the request.
struct AdmissionRoom
{
    std::uint32_t load = 0; ///< Requests of the whole fleet there.
    std::uint32_t slots = 1;
};

struct Verdict
{
    bool admitted = true;
    Duration foreseenWait{0}; ///< For a slot.
    Duration patience{0};     ///< The longest wait that was allowed.
};

/// Refuses what would wait too long for a slot to be of use, the less urgent first.
///
/// The load it answers is a burst of several times what the engines can run. Without it every
/// engine queues what comes beyond its slots; the first token then comes after two seconds in place
/// of 90 ms, callers leave, and four in five requests that an engine ran were of no use to anyone.
/// An engine with 64 slots that holds each request for 2.5 s frees one every 40 ms: how long the
/// next one waits follows from how many are there already.
class Admission
{
public:
    /// Of the objective, for waiting; the rest is the prompt's reading (90 ms of 300) and what
    /// peers sent meanwhile that is not known here yet.
    static constexpr double waitShare = 0.4;
    /// Steps of priority that make a difference.
    static constexpr int mostSteps = 2;
    /// Of an upstream's slots, kept free for what is more urgent: four and five of 64. The least
    /// urgent are mostly short, and would gain nothing for others by being kept out any further.
    static constexpr std::array<double, mostSteps + 1> reserveShares{0, 4.0 / 64, 5.0 / 64};
    /// The same for each step of a route's own priority where customers' priorities are equal.
    static constexpr double tieShare = 1.0 / 64;
    /// A customer with more than this many times its equal share of what runs counts as one step
    /// less urgent, as long as others ask too.
    static constexpr double fairShares = 2.0;
    /// Fewer running requests than this say nothing of shares.
    static constexpr std::uint32_t fewestToShare = 16;
    /// Weight of the newest answer in the mean hold: about the last twenty count.
    static constexpr double holdWeight = 0.1;
    /// Refusals of this span are taken to come back.
    static constexpr Duration returnWindow = std::chrono::seconds(2);
    /// Fewer refusals than this within the window are chance and foretell nothing.
    static constexpr std::size_t fewestToForesee = 8;
    /// The soonest return: a shorter one would find the same load.
    static constexpr Duration earliestReturn = std::chrono::milliseconds(150);
    /// Spread of returns when little was refused.
    static constexpr Duration leastSpread = std::chrono::milliseconds(350);
    /// Callers wait for a third of their time at the most; four seconds are a third of the
    /// usual 12.
    static constexpr Duration longestSpread = std::chrono::seconds(4);

    auto decide(const AdmissionAsk &ask, AdmissionRoom room) -> Verdict;
    /// Objectives may differ from now on.
    auto noteConfiguration() -> void;

    /// The request was sent to an upstream.
    auto noteSent(const AdmissionAsk &ask) -> void;
    /// It left the upstream; `held` is how long it kept a slot, where it ran to its end.
    auto noteDone(const AdmissionAsk &ask, std::optional<Duration> held, Instant now) -> void;

    /// When a caller refused now should come back; `draw` is uniform in 0 to 1. The time grows with
    /// the callers that were refused before and wait for their turn, against what the service ends.
    auto returnTime(const AdmissionAsk &ask, double draw, Instant now) -> Duration;

private:
    struct Service
    {
        std::optional<Duration> hold; // None before anything was served: nothing is foreseen then.
        // The shortest by priority. A request that may begin later must not wait longer than one as
        // urgent that may not: it would take every place before the other may.
        std::map<int, Duration> objectives;
        std::uint32_t running = 0;
        std::map<std::string, std::uint32_t> ofCustomer;
        std::deque<Instant> refusals;
        std::deque<Instant> ends;
    };

    [[nodiscard]] static auto patience(const AdmissionAsk &ask, const Service &service) -> Duration;
    [[nodiscard]] static auto steps(const AdmissionAsk &ask, const Service &service) -> int;

    std::map<std::string, Service> services_;
};

} // namespace applehatch::direct
