// Memory of the sidecar's tables: pointers, keys, answers, tombstones, crash notices.
#include "applehatch/core/answer-store.h"
#include "applehatch/core/chat-pointers.h"
#include "applehatch/core/crash-tracker.h"
#include "applehatch/core/run-once-table.h"
#include "applehatch/core/sidecar-node.h"
#include "slopes.h"

namespace applehatch::bench {

namespace {

using namespace core;
using namespace std::chrono_literals;

constexpr Instant start{1000s};
const std::vector<std::size_t> thousands{1000, 10000, 100000};
// An event of one token as the stand-in engine writes it, and tokens of a mean answer.
constexpr std::size_t tokenBytes = 64;
constexpr std::size_t tokensOfAnswer = 320;

auto pointersTo(std::size_t chats, bool warm) -> double
{
    return heapOf([&] {
        auto held = std::make_unique<ChatPointers>(chats);
        for (std::size_t i = 0; i < chats; ++i) {
            const auto chat = stableHash(std::to_string(i));
            if (warm)
                held->markRun(chat, start);
            else
                held->markMoved(chat, i + 1, start);
        }
        return held;
    });
}

auto keysHeld(std::size_t keys) -> double
{
    return heapOf([&] {
        auto held = std::make_unique<RunOnceTable>(keys, 0);
        Terms terms;
        terms.team = "ledger";
        terms.customer = "customer-1234";
        for (std::size_t i = 0; i < keys; ++i) {
            terms.idempotencyKey = "0f8fad5b-d9cb-469f-a165-" + std::to_string(100000000000 + i);
            const auto name = RunOnceTable::nameOf(terms);
            if (held->begin(name, i, i, start))
                held->record(name, {200, {}, std::string(200, 'x')}, start + 600s);
        }
        return held;
    });
}

auto answersHeld(std::size_t answers) -> double
{
    return heapOf([&] {
        auto held = std::make_unique<AnswerStore>(AnswerLimits{1U << 30U, 4U << 20U, 60s});
        const std::string token(tokenBytes, 'x');
        for (std::size_t run = 1; run <= answers; ++run) {
            held->begin(run);
            for (std::size_t i = 0; i < tokensOfAnswer; ++i)
                (void)held->append(run, token);
            held->finish(run, start);
        }
        return held;
    });
}

auto tombstones(std::size_t count) -> double
{
    return heapOf([&] {
        auto node = std::make_unique<SidecarNode>(
            SidecarIdentity{"ledger", "drafting", "eng-0", "dc-0", 7, 1});
        (void)node->handle(SettingsInForce{settingsOf({poolOf(18)})}, start);
        (void)node->handle(PeerLinkUp{1}, start);
        for (std::size_t i = 0; i < count; ++i)
            (void)node->handle(FromPeer{1, Revoke{"router-123-" + std::to_string(i), 1, 7}}, start);
        return node;
    });
}

auto notices(std::size_t count) -> double
{
    return heapOf([&] {
        auto book = std::make_unique<CrashTracker>(count);
        for (std::size_t i = 0; i < count; ++i)
            (void)book->apply({stableHash(std::to_string(i)), {i, 7}, 1, 600s}, start);
        return book;
    });
}

/// Microseconds a second that ticks take with this many pointers and tombstones held.
auto tickWithTables(std::size_t count) -> double
{
    SidecarNode node({"ledger", "drafting", "eng-0", "dc-0", 7, 1});
    auto now = start;
    (void)node.handle(SettingsInForce{settingsOf({poolOf(18)})}, now);
    (void)node.handle(PeerLinkUp{1}, now);
    for (std::size_t i = 0; i < count; ++i) {
        (void)node.handle(FromPeer{1, Revoke{"router-123-" + std::to_string(i), 1, 7}}, now);
        (void)node.handle(FromPeer{1, Moved{stableHash(std::to_string(i)), i + 1}}, now);
    }
    constexpr int seconds = 20;
    return microsecondsOf([&] {
               for (int tick = 0; tick < seconds * 20; ++tick) {
                   now += 50ms;
                   (void)node.handle(Tick{}, now);
               }
           })
        / seconds;
}

/// Microseconds of one expiry of the table of idempotency keys, none of which is due.
auto expireKeys(std::size_t keys) -> double
{
    RunOnceTable held(keys, 0);
    for (std::size_t i = 0; i < keys; ++i) {
        const auto name = "ledger/customer-1/" + std::to_string(i);
        if (held.begin(name, i, i, start))
            held.record(name, {}, start + 600s);
    }
    return microsecondsOf([&] { held.expire(start + 1s); });
}

} // namespace

auto measureTables() -> void
{
    measureSlope({"pointers.moved.memory", "chats", "heap_bytes", 100000}, thousands,
                 [](std::size_t size) { return pointersTo(size, false); });
    measureSlope({"pointers.warm.memory", "chats", "heap_bytes", 20548}, thousands,
                 [](std::size_t size) { return pointersTo(size, true); });
    measureSlope({"keys.memory", "keys", "heap_bytes", 200000}, thousands, keysHeld);
    measureSlope({"answers.memory", "answers_of_320_tokens", "heap_bytes", 778}, {100, 400, 1600},
                 answersHeld);
    measureSlope({"tombstones.memory", "tombstones", "heap_bytes", 100000}, thousands, tombstones);
    measureSlope({"crashes.memory", "notices", "heap_bytes", 1000}, {10, 100, 1000}, notices);
    measureSlope({"sidecar.tables.tick", "pointers_and_tombstones", "us_per_second", 100000},
                 thousands, tickWithTables);
    measureSlope({"keys.expire", "keys", "us_per_second", 200000}, thousands, expireKeys);
}

} // namespace applehatch::bench
