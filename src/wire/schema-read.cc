#include "schema-codec.h"

#include <utility>

namespace applehatch::wire {

namespace {

using std::chrono::milliseconds;

constexpr int largestPriority = 9;

// Records whether every value of a message was in range, so that each reader fits on one line.
struct Check
{
    bool good = true;

    auto require(bool condition) -> void { good = good && condition; }
};

auto text(capnp::Text::Reader from) -> std::string
{
    return {from.begin(), from.size()};
}

auto bytes(capnp::Data::Reader from) -> std::string
{
    return {reinterpret_cast<const char *>(from.begin()), from.size()};
}

auto sharedBytes(capnp::Data::Reader from) -> std::shared_ptr<const std::string>
{
    return std::make_shared<const std::string>(bytes(from));
}

auto instant(std::int64_t sinceEpoch) -> core::Instant
{
    return core::Instant(core::Duration(sinceEpoch));
}

auto state(schema::UpstreamState from, Check &check) -> core::UpstreamState
{
    check.require(from <= schema::UpstreamState::DOWN);
    return static_cast<core::UpstreamState>(from);
}

auto run(schema::Run from, Check &check) -> core::Run
{
    check.require(from <= schema::Run::UNKNOWN);
    return static_cast<core::Run>(from);
}

auto read(schema::DigestEntry::Reader from, Check &check) -> core::DigestEntry
{
    check.require(from.getUpstream() != 0);
    return {from.getUpstream(),
            from.getIncarnation(),
            from.getVersion(),
            from.getRunning(),
            from.getWaiting(),
            from.getSlots(),
            state(from.getState(), check),
            milliseconds(from.getAgeMs())};
}

auto read(schema::CrashNotice::Reader from, Check & /*check*/) -> core::CrashNotice
{
    return {from.getFingerprint(),
            {from.getUpstream(), from.getIncarnation()},
            from.getSequence(),
            milliseconds(from.getRemainingMs())};
}

auto read(schema::PoolSum::Reader from, Check & /*check*/) -> core::PoolSum
{
    return {from.getPool(),
            from.getDataCenter(),
            from.getVersion(),
            from.getMembers(),
            from.getLoad(),
            from.getSlots(),
            milliseconds(from.getAgeMs())};
}

auto read(schema::Header::Reader from, Check & /*check*/) -> std::pair<std::string, std::string>
{
    return {text(from.getName()), text(from.getValue())};
}

template <typename Value, typename List>
auto readAll(List from, Check &check) -> std::vector<Value>
{
    std::vector<Value> values;
    values.reserve(from.size());
    for (const auto item : from)
        values.push_back(read(item, check));
    return values;
}

auto read(schema::Call::Reader from, Check &check) -> core::Call
{
    core::Call call;
    call.method = text(from.getMethod());
    call.path = text(from.getPath());
    call.headers = readAll<core::Headers::value_type>(from.getHeaders(), check);
    if (from.hasBody())
        call.body = sharedBytes(from.getBody());
    call.stream = from.getStream();
    return call;
}

auto read(schema::Terms::Reader from, Check &check) -> core::Terms
{
    core::Terms terms;
    terms.team = text(from.getTeam());
    terms.customer = text(from.getCustomer());
    terms.pool = text(from.getPool());
    terms.model = text(from.getModel());
    terms.chat = from.getChat();
    terms.fingerprint = from.getFingerprint();
    terms.priority = from.getPriority();
    check.require(terms.priority <= largestPriority);
    terms.idempotencyKey = text(from.getIdempotencyKey());
    terms.runOnce = from.getRunOnce();
    terms.firstSend = from.getFirstSend();
    return terms;
}

auto read(schema::Failure::Reader from, Check &check) -> core::Failure
{
    core::Failure failure;
    failure.kind = static_cast<core::ErrorKind>(from.getKind());
    check.require(from.getKind() >= static_cast<int>(core::ErrorKind::BadRequest)
                  && from.getKind() <= static_cast<int>(core::ErrorKind::Internal));
    failure.run = run(from.getRun(), check);
    failure.detail = text(from.getDetail());
    if (from.getRetryAfterUs() >= 0)
        failure.retryAfter = core::Duration(from.getRetryAfterUs());
    return failure;
}

auto read(schema::Submit::Reader from, Check &check) -> core::Message
{
    core::Submit submit;
    submit.request = text(from.getRequest());
    submit.attempt = from.getAttempt();
    submit.target = from.getTarget();
    submit.notAfter = instant(from.getNotAfterUs());
    submit.terms = read(from.getTerms(), check);
    submit.call = read(from.getCall(), check);
    submit.movedFrom = from.getMovedFrom();
    submit.mayWait = from.getMayWait();
    submit.loads = readAll<core::DigestEntry>(from.getLoads(), check);
    return submit;
}

auto read(schema::Head::Reader from, Check &check) -> core::Message
{
    core::Head head;
    head.request = text(from.getRequest());
    head.attempt = from.getAttempt();
    head.status = from.getStatus();
    check.require(head.status >= core::smallestStatus && head.status <= core::largestStatus);
    head.headers = readAll<core::Headers::value_type>(from.getHeaders(), check);
    head.replayed = from.getReplayed();
    head.warm = from.getWarm();
    return head;
}

auto read(schema::Refusal::Reader from, Check &check) -> core::Message
{
    core::Refusal refusal;
    refusal.request = text(from.getRequest());
    refusal.attempt = from.getAttempt();
    refusal.failure = read(from.getFailure(), check);
    refusal.redirect = from.getRedirect();
    refusal.loads = readAll<core::DigestEntry>(from.getLoads(), check);
    return refusal;
}

auto read(schema::End::Reader from, Check &check) -> core::Message
{
    return core::End{text(from.getRequest()), from.getLength(), from.getHash(),
                     readAll<core::DigestEntry>(from.getLoads(), check)};
}

auto read(schema::SettingsPull::Reader from) -> core::Message
{
    core::SettingsPull pull;
    for (const auto entry : from.getHeld())
        pull.knownIndices.emplace(text(entry.getTeam()), entry.getIndex());
    pull.brief = from.getBrief();
    pull.since = from.getSince();
    pull.hash = from.getHash();
    return pull;
}

auto read(schema::SettingsReply::Reader from) -> core::Message
{
    core::SettingsReply reply;
    reply.index = from.getIndex();
    reply.differs = from.getDiffers();
    for (const auto entry : from.getTexts()) {
        auto subtree = entry.hasText() ? sharedBytes(entry.getText()) : nullptr;
        reply.texts.push_back({text(entry.getTeam()), entry.getIndex(), std::move(subtree)});
    }
    return reply;
}

// Reads request messages that consist of plain values; empty when `from` is of another kind.
auto readPlain(schema::Message::Reader from, Check &check) -> std::optional<core::Message>
{
    switch (from.which()) {
    case schema::Message::REVOKE: {
        const auto revoke = from.getRevoke();
        return core::Revoke{text(revoke.getRequest()), revoke.getAttempt(), revoke.getTarget()};
    }
    case schema::Message::RESUME: {
        const auto resume = from.getResume();
        return core::Resume{text(resume.getRequest()), text(resume.getCustomer()),
                            resume.getOffset()};
    }
    case schema::Message::ACKNOWLEDGE: {
        const auto acknowledge = from.getAcknowledge();
        return core::Acknowledge{text(acknowledge.getRequest()), acknowledge.getOffset(),
                                 acknowledge.getFinished()};
    }
    case schema::Message::HEARTBEAT: {
        const auto heartbeat = from.getHeartbeat();
        return core::Heartbeat{heartbeat.getIncarnation(), instant(heartbeat.getClockUs())};
    }
    case schema::Message::CHUNK: {
        const auto chunk = from.getChunk();
        return core::Chunk{text(chunk.getRequest()), chunk.getOffset(), bytes(chunk.getData())};
    }
    case schema::Message::REVOKED: {
        const auto revoked = from.getRevoked();
        return core::Revoked{text(revoked.getRequest()), revoked.getAttempt(),
                             run(revoked.getRun(), check)};
    }
    case schema::Message::MOVED: {
        const auto moved = from.getMoved();
        return core::Moved{moved.getChat(), moved.getHolder()};
    }
    default:
        return std::nullopt;
    }
}

auto readAny(schema::Message::Reader from, Check &check) -> std::optional<core::Message>
{
    switch (from.which()) {
    case schema::Message::SUBMIT:
        return read(from.getSubmit(), check);
    case schema::Message::HEAD:
        return read(from.getHead(), check);
    case schema::Message::END:
        return read(from.getEnd(), check);
    case schema::Message::REFUSAL:
        return read(from.getRefusal(), check);
    case schema::Message::SETTINGS_PULL:
        return read(from.getSettingsPull());
    case schema::Message::SETTINGS_REPLY:
        return read(from.getSettingsReply());
    default:
        return readPlain(from, check);
    }
}

} // namespace

auto read(schema::Digest::Reader from) -> std::optional<core::Digest>
{
    Check check;
    core::Digest digest;
    digest.settingsIndex = from.getSettingsIndex();
    digest.entries = readAll<core::DigestEntry>(from.getEntries(), check);
    digest.sums = readAll<core::PoolSum>(from.getSums(), check);
    digest.crashes = readAll<core::CrashNotice>(from.getCrashes(), check);
    digest.wantsReply = from.getWantsReply();
    if (!check.good)
        return std::nullopt;
    return digest;
}

auto read(schema::Message::Reader from) -> std::optional<core::Message>
{
    Check check;
    auto message = readAny(from, check);
    if (!check.good)
        return std::nullopt;
    return message;
}

} // namespace applehatch::wire
