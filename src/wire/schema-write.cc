#include "schema-codec.h"

#include <algorithm>
#include <limits>

namespace applehatch::wire {

namespace {

using std::chrono::milliseconds;

auto text(const std::string &from) -> capnp::Text::Reader
{
    return {from.c_str(), from.size()};
}

auto bytes(const std::string &from) -> capnp::Data::Reader
{
    return {reinterpret_cast<const kj::byte *>(from.data()), from.size()};
}

// Ages are encoded in whole milliseconds, rounded up, so that forwarding never makes an entry
// younger.
auto wholeMilliseconds(core::Duration from) -> std::uint32_t
{
    constexpr auto largest = std::numeric_limits<std::uint32_t>::max();
    const auto count = std::chrono::ceil<milliseconds>(from).count();
    return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(count, 0, largest));
}

auto sinceEpoch(core::Instant from) -> std::int64_t
{
    return from.time_since_epoch().count();
}

auto state(core::UpstreamState from) -> schema::UpstreamState
{
    return static_cast<schema::UpstreamState>(from);
}

auto run(core::Run from) -> schema::Run
{
    return static_cast<schema::Run>(from);
}

auto write(const core::DigestEntry &from, schema::DigestEntry::Builder to) -> void
{
    to.setUpstream(from.upstream);
    to.setIncarnation(from.incarnation);
    to.setVersion(from.version);
    to.setRunning(from.running);
    to.setWaiting(from.waiting);
    to.setSlots(from.slots);
    to.setState(state(from.state));
    to.setAgeMs(wholeMilliseconds(from.age));
}

auto write(const core::CrashNotice &from, schema::CrashNotice::Builder to) -> void
{
    to.setFingerprint(from.fingerprint);
    to.setUpstream(from.origin.upstream);
    to.setIncarnation(from.origin.incarnation);
    to.setSequence(from.sequence);
    to.setRemainingMs(wholeMilliseconds(from.remaining));
}

auto write(const core::PoolSum &from, schema::PoolSum::Builder to) -> void
{
    to.setPool(from.pool);
    to.setDataCenter(from.dataCenter);
    to.setVersion(from.version);
    to.setMembers(from.members);
    to.setLoad(from.load);
    to.setSlots(from.slots);
    to.setAgeMs(wholeMilliseconds(from.age));
}

auto write(const std::pair<std::string, std::string> &from, schema::Header::Builder to) -> void
{
    to.setName(text(from.first));
    to.setValue(text(from.second));
}

template <typename Values, typename List>
auto writeAll(const Values &from, List to) -> void
{
    unsigned index = 0;
    for (const auto &value : from)
        write(value, to[index++]);
}

auto write(const core::Call &from, schema::Call::Builder to) -> void
{
    to.setMethod(text(from.method));
    to.setPath(text(from.path));
    writeAll(from.headers, to.initHeaders(from.headers.size()));
    if (from.body)
        to.setBody(bytes(*from.body));
    to.setStream(from.stream);
}

auto write(const core::Terms &from, schema::Terms::Builder to) -> void
{
    to.setTeam(text(from.team));
    to.setCustomer(text(from.customer));
    to.setPool(text(from.pool));
    to.setModel(text(from.model));
    to.setChat(from.chat);
    to.setFingerprint(from.fingerprint);
    to.setPriority(static_cast<std::uint8_t>(from.priority));
    to.setIdempotencyKey(text(from.idempotencyKey));
    to.setRunOnce(from.runOnce);
    to.setFirstSend(from.firstSend);
}

auto write(const core::Failure &from, schema::Failure::Builder to) -> void
{
    to.setKind(static_cast<std::uint16_t>(from.kind));
    to.setRun(run(from.run));
    to.setDetail(text(from.detail));
    if (from.retryAfter)
        to.setRetryAfterUs(from.retryAfter->count());
}

// One overload per message type: selects its member of the union and fills it.
struct MessageWriter
{
    schema::Message::Builder to;

    auto operator()(const core::Submit &from) -> void
    {
        auto submit = to.initSubmit();
        submit.setRequest(text(from.request));
        submit.setAttempt(from.attempt);
        submit.setTarget(from.target);
        submit.setNotAfterUs(sinceEpoch(from.notAfter));
        write(from.terms, submit.initTerms());
        write(from.call, submit.initCall());
        submit.setMovedFrom(from.movedFrom);
        submit.setMayWait(from.mayWait);
        writeAll(from.loads, submit.initLoads(from.loads.size()));
    }

    auto operator()(const core::Revoke &from) -> void
    {
        auto revoke = to.initRevoke();
        revoke.setRequest(text(from.request));
        revoke.setAttempt(from.attempt);
        revoke.setTarget(from.target);
    }

    auto operator()(const core::Resume &from) -> void
    {
        auto resume = to.initResume();
        resume.setRequest(text(from.request));
        resume.setCustomer(text(from.customer));
        resume.setOffset(from.offset);
    }

    auto operator()(const core::Acknowledge &from) -> void
    {
        auto acknowledge = to.initAcknowledge();
        acknowledge.setRequest(text(from.request));
        acknowledge.setOffset(from.offset);
        acknowledge.setFinished(from.finished);
    }

    auto operator()(const core::Heartbeat &from) -> void
    {
        auto heartbeat = to.initHeartbeat();
        heartbeat.setIncarnation(from.incarnation);
        heartbeat.setClockUs(sinceEpoch(from.clock));
    }

    auto operator()(const core::Head &from) -> void
    {
        auto head = to.initHead();
        head.setRequest(text(from.request));
        head.setAttempt(from.attempt);
        head.setStatus(static_cast<std::uint16_t>(from.status));
        writeAll(from.headers, head.initHeaders(from.headers.size()));
        head.setReplayed(from.replayed);
        head.setWarm(from.warm);
    }

    auto operator()(const core::Chunk &from) -> void
    {
        auto chunk = to.initChunk();
        chunk.setRequest(text(from.request));
        chunk.setOffset(from.offset);
        chunk.setData(bytes(from.data));
    }

    auto operator()(const core::End &from) -> void
    {
        auto end = to.initEnd();
        end.setRequest(text(from.request));
        end.setLength(from.length);
        end.setHash(from.hash);
        writeAll(from.loads, end.initLoads(from.loads.size()));
    }

    auto operator()(const core::Refusal &from) -> void
    {
        auto refusal = to.initRefusal();
        refusal.setRequest(text(from.request));
        refusal.setAttempt(from.attempt);
        write(from.failure, refusal.initFailure());
        refusal.setRedirect(from.redirect);
        writeAll(from.loads, refusal.initLoads(from.loads.size()));
    }

    auto operator()(const core::Revoked &from) -> void
    {
        auto revoked = to.initRevoked();
        revoked.setRequest(text(from.request));
        revoked.setAttempt(from.attempt);
        revoked.setRun(run(from.run));
    }

    auto operator()(const core::Moved &from) -> void
    {
        auto moved = to.initMoved();
        moved.setChat(from.chat);
        moved.setHolder(from.holder);
    }

    auto operator()(const core::SettingsPull &from) -> void
    {
        auto pull = to.initSettingsPull();
        auto held = pull.initHeld(from.knownIndices.size());
        unsigned position = 0;
        for (const auto &[team, index] : from.knownIndices) {
            auto entry = held[position++];
            entry.setTeam(text(team));
            entry.setIndex(index);
        }
        pull.setBrief(from.brief);
        pull.setSince(from.since);
        pull.setHash(from.hash);
    }

    auto operator()(const core::SettingsReply &from) -> void
    {
        auto reply = to.initSettingsReply();
        reply.setIndex(from.index);
        reply.setDiffers(from.differs);
        auto texts = reply.initTexts(from.texts.size());
        unsigned position = 0;
        for (const auto &subtree : from.texts) {
            auto entry = texts[position++];
            entry.setTeam(text(subtree.team));
            entry.setIndex(subtree.index);
            if (subtree.text)
                entry.setText(bytes(*subtree.text));
        }
    }
};

} // namespace

auto write(const core::Digest &from, schema::Digest::Builder to) -> void
{
    to.setSettingsIndex(from.settingsIndex);
    writeAll(from.entries, to.initEntries(from.entries.size()));
    writeAll(from.sums, to.initSums(from.sums.size()));
    writeAll(from.crashes, to.initCrashes(from.crashes.size()));
    to.setWantsReply(from.wantsReply);
}

auto write(const core::Message &from, schema::Message::Builder to) -> void
{
    std::visit(MessageWriter{to}, from);
}

} // namespace applehatch::wire
