/// Messages between the processes of the system, independent of the transport.
#pragma once

#include "applehatch/core/digest.h"
#include "applehatch/core/error.h"
#include "applehatch/core/identity.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace applehatch::core {

using Headers = std::vector<std::pair<std::string, std::string>>;

/// The part of a request that reaches the upstream unchanged.
struct Call
{
    std::string method;
    std::string path;
    Headers headers;
    std::shared_ptr<const std::string> body;
    bool stream = false; ///< The caller asked for server-sent events.
};

/// Attributes of a request by which it is routed and admitted.
struct Terms
{
    std::string team;
    std::string customer;
    std::string pool;
    std::string model; ///< Empty for a plain service.
    ChatKey chat = 0;
    Fingerprint fingerprint = 0;
    int priority = 0;           ///< 0 to 9; higher priorities run first.
    std::string idempotencyKey; ///< Empty if the caller sent no key.
    bool runOnce = false;       ///< Must never run more than once.
    bool firstSend = false;     ///< The caller asserts that it has not sent this key before.
};

/// Router to sidecar: run a request.
///
/// `notAfter` is a time on the receiving sidecar's clock, which the router computes from the last
/// `Heartbeat` on the same link. An outdated attempt from a router that was suspended is therefore
/// refused, although the two clocks are not synchronized.
struct Submit
{
    RequestId request;
    std::uint32_t attempt = 0;
    Incarnation target = 0; ///< Any other incarnation refuses; 0 matches any.
    Instant notAfter;
    Terms terms;
    Call call;
    UpstreamId movedFrom = 0; ///< The owner that refused this chat; 0 if none did.
    std::vector<DigestEntry> loads;
    bool mayWait = false; ///< Queue the request instead of refusing it: no other upstream has room.
};

/// Router to sidecar: do not run this attempt, or stop it.
///
/// Without `target`, a recently restarted sidecar cannot know whether its earlier incarnation ran
/// an attempt that it has no record of, and answers `Run::Unknown`.
struct Revoke
{
    RequestId request;
    std::uint32_t attempt = 0;
    Incarnation target = 0; ///< The incarnation that the attempt was addressed to; 0 if unknown.
};

/// Router to sidecar: send the answer again from `offset`, or report the outcome of the request.
struct Resume
{
    RequestId request;
    std::string
        customer; ///< `team/customer`; the answer is sent only to the customer it belongs to.
    std::uint64_t offset = 0;
};

/// Router to sidecar: the caller has received all bytes before `offset`.
struct Acknowledge
{
    RequestId request;
    std::uint64_t offset = 0;
    bool finished = false; ///< The whole answer arrived and can be discarded.
};

/// Sent in both directions while requests are outstanding. A sidecar's heartbeat carries its clock.
struct Heartbeat
{
    Incarnation incarnation = 0; ///< Incarnation of the sidecar; 0 from a router.
    Instant clock;               ///< The sidecar's clock at sending; meaningless from a router.
};

/// The status codes that a message carries.
inline constexpr int smallestStatus = 100;
inline constexpr int largestStatus = 599;

/// Sidecar to router: the upstream began to answer.
struct Head
{
    RequestId request;
    std::uint32_t attempt = 0;
    int status = 200;
    Headers headers;
    bool replayed = false; ///< The answer was recorded in an earlier run.
    bool warm = false;     ///< The chat's context was in the upstream's cache.
};

/// Sidecar to router: a part of the answer.
struct Chunk
{
    RequestId request;
    std::uint64_t offset = 0;
    std::string data;
};

/// Sidecar to router: the answer is complete.
struct End
{
    RequestId request;
    std::uint64_t length = 0;
    std::uint64_t hash = 0; ///< `stableHash` of the body; 0 if the sidecar did not see all of it.
    std::vector<DigestEntry> loads;
};

/// Sidecar to router: this attempt ended without a complete answer.
struct Refusal
{
    RequestId request;
    std::uint32_t attempt = 0;
    Failure failure;
    UpstreamId redirect = 0;        ///< Upstream that has this chat's context; 0 if unknown.
    std::vector<DigestEntry> loads; ///< Better candidates first.
};

/// Sidecar to router: the outcome of a `Revoke`.
struct Revoked
{
    RequestId request;
    std::uint32_t attempt = 0;
    Run run = Run::NotRun;
};

/// Sidecar to the sidecar of a chat's owner: the chat's context is now at `holder`.
struct Moved
{
    ChatKey chat = 0;
    UpstreamId holder = 0;
};

/// Requests settings subtrees from a peer that are newer than those of the sender.
struct SettingsPull
{
    std::map<std::string, SettingsIndex>
        knownIndices;        ///< Index in force by team; empty if `brief`.
    bool brief = false;      ///< `since` and `hash` are sent instead of `knownIndices`.
    SettingsIndex since = 0; ///< The sender was offered every text up to this index.
    std::uint64_t hash = 0;  ///< Hash of all teams and their indices, independent of order.
};

/// The text of one team's settings subtree.
struct SettingsText
{
    std::string team;
    SettingsIndex index = 0;
    std::shared_ptr<const std::string> text; ///< Null when the subtree was removed.
};

/// The answer to a `SettingsPull`.
struct SettingsReply
{
    SettingsIndex index = 0;
    std::vector<SettingsText> texts;
    bool differs = false; ///< Indices of the sender of a brief pull may differ even after `texts`.
};

using Message = std::variant<Submit, Revoke, Resume, Acknowledge, Heartbeat, Head, Chunk, End,
                             Refusal, Revoked, Moved, SettingsPull, SettingsReply>;

} // namespace applehatch::core
