/// What callers saw and what upstreams ran, and a checker over the whole of it.
#pragma once

#include "applehatch/core/error.h"
#include "applehatch/core/identity.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::schedule {

/// One request of a caller, over all of its sends and resumptions.
struct CallRecord
{
    std::string body; ///< Unique, so that runs can be told apart.
    std::string key;  ///< Idempotency key; empty without one.
    std::string expected;
    bool poison = false; ///< Crashes the upstream that runs it.
    int sends = 0;       ///< Sends and resumptions.
};

/// What one send or resumption gave its caller.
struct AnswerRecord
{
    std::size_t call = 0;
    std::string received; ///< Including what an earlier connection brought, for a resumption.
    std::string position; ///< Of the last event received.
    bool whole = false;   ///< The answer was said to be whole.
    std::optional<core::Failure> failure;
    int finals = 0; ///< Ends and failures told.
    bool routerDied = false;
};

/// One run at an upstream's process.
struct RunRecord
{
    std::string body;
    core::UpstreamId upstream = 0;
    core::Instant startedAt;
    bool afterLeaving = false; ///< Its request reached a sidecar that was already leaving.
};

/// Sums that tell whether the schedule tried what it was meant to try.
struct Tried
{
    int messagesDropped = 0;
    int messagesDoubled = 0;
    int linksCut = 0;
    int pauses = 0;
    int sidecarRestarts = 0;
    int routerRestarts = 0;
    int engineCrashes = 0;
    int drains = 0;
    int partitions = 0;
    int wholeWhileApart = 0; ///< Answers that ended whole during a partition.
    int resumed = 0;
    int repeatedKeys = 0;
};

struct History
{
    std::vector<CallRecord> calls;
    std::vector<AnswerRecord> answers;
    std::vector<RunRecord> runs;
    std::map<std::string, int> crashesByBody;      ///< Engines lost to each poisoned body.
    std::map<std::string, int> copiesAtFirstCrash; ///< Engines that ran it when the first was lost.
    Tried tried;
};

/// Every rule that the history breaks, one line each; empty when it breaks none.
[[nodiscard]] auto violations(const History &history) -> std::vector<std::string>;

/// The answer that every upstream gives to `body`: whole server-sent events.
[[nodiscard]] auto expectedAnswer(const std::string &body) -> std::vector<std::string>;

} // namespace applehatch::schedule
