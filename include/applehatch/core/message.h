/// The messages between the system's own processes, independent of how they are carried.
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

/// What a request is, apart from its call.
struct Terms
{
    std::string team;
    std::string customer;
    std::string pool;
    std::string model; ///< Empty for a plain service.
    ChatKey chat = 0;
    Fingerprint fingerprint = 0;
    int priority = 0;           ///< 0 to 9; larger goes first.
    std::string idempotencyKey; ///< Empty when the caller sent none.
    bool runOnce = false;       ///< Runs at most once, whatever happens.
    bool firstSend = false;     ///< The caller states that it never sent this key before.
};

/// Router to sidecar: run this.
///
/// `notAfter` is a reading of the receiving sidecar's clock, reckoned by the router from the last
/// `Heartbeat` on the same link. A router that slept and sends an old attempt is thus refused
/// although the two clocks have nothing in common.
struct Submit
{
    RequestId request;
    std::uint32_t attempt = 0;
    Incarnation target = 0; ///< Refused by any other life; 0 accepts any.
    Instant notAfter;
    Terms terms;
    Call call;
    UpstreamId movedFrom = 0; ///< The home that refused this chat; 0 when none did.
    std::vector<DigestEntry> loads;
    bool mayWait = false; ///< No other upstream has room: wait for it here rather than be refused.
};

/// Router to sidecar: do not run this attempt, or stop it.
///
/// Without `target` a sidecar that restarted lately cannot tell whether its earlier life ran the
/// attempt, and answers `Run::Unknown` for one that it does not know.
struct Revoke
{
    RequestId request;
    std::uint32_t attempt = 0;
    Incarnation target = 0; ///< The life that the attempt was addressed to; 0 when unknown.
};

/// Router to sidecar: send the answer again from `offset`, or say what became of the request.
struct Resume
{
    RequestId request;
    std::string customer; ///< `team/customer`; another customer's answer is never given out.
    std::uint64_t offset = 0;
};

/// Router to sidecar: the caller has everything before `offset`.
struct Acknowledge
{
    RequestId request;
    std::uint64_t offset = 0;
    bool finished = false; ///< The whole answer arrived; nothing of it need be kept.
};

/// Either way while anything is outstanding; the sidecar's carries its clock.
struct Heartbeat
{
    Incarnation incarnation = 0; ///< The sidecar's; 0 from a router.
    Instant clock;               ///< The sidecar's clock at sending; meaningless from a router.
};

/// Sidecar to router: the upstream began to answer.
struct Head
{
    RequestId request;
    std::uint32_t attempt = 0;
    int status = 200;
    Headers headers;
    bool replayed = false; ///< From the record of an earlier run.
    bool warm = false;     ///< The chat's context was found here.
};

/// Sidecar to router: a part of the answer.
struct Chunk
{
    RequestId request;
    std::uint64_t offset = 0;
    std::string data;
};

/// Sidecar to router: the answer is whole.
struct End
{
    RequestId request;
    std::uint64_t length = 0;
    std::uint64_t hash = 0; ///< `stableHash` of the whole body; 0 when not all of it passed here.
    std::vector<DigestEntry> loads;
};

/// Sidecar to router: this attempt is over without a whole answer.
struct Refusal
{
    RequestId request;
    std::uint32_t attempt = 0;
    Failure failure;
    UpstreamId redirect = 0;        ///< Where this chat's context went; 0 when unknown.
    std::vector<DigestEntry> loads; ///< Better candidates first.
};

/// Sidecar to router: the outcome of a `Revoke`.
struct Revoked
{
    RequestId request;
    std::uint32_t attempt = 0;
    Run run = Run::NotRun;
};

/// Sidecar to the sidecar of a chat's home: its context is now with `holder`.
struct Moved
{
    ChatKey chat = 0;
    UpstreamId holder = 0;
};

/// Asks a peer for subtrees newer than those held.
struct SettingsPull
{
    std::map<std::string, SettingsIndex> held; ///< Team to index in force; empty when `brief`.
    bool brief = false;                        ///< `since` and `hash` stand for `held`.
    SettingsIndex since = 0;                   ///< Everything up to here was offered to the asker.
    std::uint64_t hash = 0;                    ///< Over all teams and indices held, in any order.
};

/// One team's last accepted text.
struct SettingsText
{
    std::string team;
    SettingsIndex index = 0;
    std::shared_ptr<const std::string> text; ///< Null when the subtree was removed.
};

/// Answers a `SettingsPull`.
struct SettingsReply
{
    SettingsIndex index = 0;
    std::vector<SettingsText> texts;
    bool differs = false; ///< After `texts`, the asker of a brief pull may still hold others.
};

using Message = std::variant<Submit, Revoke, Resume, Acknowledge, Heartbeat, Head, Chunk, End,
                             Refusal, Revoked, Moved, SettingsPull, SettingsReply>;

} // namespace applehatch::core
