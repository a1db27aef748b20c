/// Arbitrary messages and digests for rapidcheck.
#pragma once

#include "applehatch/core/message.h"

#include <rapidcheck.h>
#include <sstream>

namespace applehatch::wire {

/// Lists all fields of a message for comparison.
inline auto describe(const core::Message &message) -> std::string;

namespace detail {

struct Describe
{
    std::ostringstream &out;

    auto put() -> void { }

    template <typename First, typename... Rest>
    auto put(const First &first, const Rest &...rest) -> void
    {
        out << first << '|';
        put(rest...);
    }

    auto put(const core::Headers &headers) -> void
    {
        for (const auto &[name, value] : headers)
            put(name, value);
    }

    auto put(const std::vector<core::DigestEntry> &loads) -> void
    {
        for (const auto &load : loads) {
            put(load.upstream, load.incarnation, load.version, load.running, load.waiting);
            put(load.slots, static_cast<int>(load.state), load.age.count());
        }
    }

    auto put(const std::shared_ptr<const std::string> &text) -> void
    {
        put(text ? "=" + *text : std::string("null"));
    }

    auto operator()(const core::Submit &m) -> void
    {
        const auto &t = m.terms;
        put(m.request, m.attempt, m.target, m.notAfter.time_since_epoch().count(), m.movedFrom,
            m.mayWait);
        put(t.team, t.customer, t.pool, t.model, t.chat, t.fingerprint, t.priority);
        put(t.idempotencyKey, t.runOnce, t.firstSend);
        put(m.call.method, m.call.path, m.call.stream);
        put(m.call.headers);
        put(m.call.body);
        put(m.loads);
    }
    auto operator()(const core::Revoke &m) -> void { put(m.request, m.attempt, m.target); }
    auto operator()(const core::Resume &m) -> void { put(m.request, m.customer, m.offset); }
    auto operator()(const core::Acknowledge &m) -> void { put(m.request, m.offset, m.finished); }
    auto operator()(const core::Heartbeat &m) -> void
    {
        put(m.incarnation, m.clock.time_since_epoch().count());
    }
    auto operator()(const core::Head &m) -> void
    {
        put(m.request, m.attempt, m.status, m.replayed, m.warm);
        put(m.headers);
    }
    auto operator()(const core::Chunk &m) -> void { put(m.request, m.offset, m.data); }
    auto operator()(const core::End &m) -> void
    {
        put(m.request, m.length, m.hash);
        put(m.loads);
    }
    auto operator()(const core::Refusal &m) -> void
    {
        const auto &f = m.failure;
        put(m.request, m.attempt, static_cast<int>(f.kind), static_cast<int>(f.run), f.detail);
        put(f.retryAfter ? f.retryAfter->count() : -1, m.redirect);
        put(m.loads);
    }
    auto operator()(const core::Revoked &m) -> void
    {
        put(m.request, m.attempt, static_cast<int>(m.run));
    }
    auto operator()(const core::Moved &m) -> void { put(m.chat, m.holder); }
    auto operator()(const core::SettingsPull &m) -> void
    {
        put(m.brief, m.since, m.hash);
        for (const auto &[team, index] : m.knownIndices)
            put(team, index);
    }
    auto operator()(const core::SettingsReply &m) -> void
    {
        put(m.index, m.differs);
        for (const auto &subtree : m.texts) {
            put(subtree.team, subtree.index);
            put(subtree.text);
        }
    }
};

template <typename Value>
auto any() -> Value
{
    return *rc::gen::arbitrary<Value>();
}

inline auto anyText() -> std::string
{
    return any<std::string>();
}

inline auto anyDuration() -> core::Duration
{
    return std::chrono::milliseconds(*rc::gen::inRange<std::int64_t>(0, 1'000'000));
}

inline auto anyInstant() -> core::Instant
{
    return core::Instant(core::Duration(any<std::int64_t>()));
}

inline auto anyShared() -> std::shared_ptr<const std::string>
{
    return any<bool>() ? std::make_shared<const std::string>(anyText()) : nullptr;
}

inline auto anyId() -> std::uint64_t
{
    return *rc::gen::nonZero<std::uint64_t>();
}

} // namespace detail

inline auto describe(const core::Message &message) -> std::string
{
    std::ostringstream out;
    std::visit(detail::Describe{out}, message);
    return out.str();
}

} // namespace applehatch::wire

namespace rc {

using namespace applehatch; // NOLINT(google-build-using-namespace)
namespace wired = applehatch::wire::detail;

template <>
struct Arbitrary<core::DigestEntry>
{
    static auto arbitrary() -> Gen<core::DigestEntry>
    {
        return gen::exec([] {
            using wired::any;
            return core::DigestEntry{wired::anyId(),
                                     any<std::uint64_t>(),
                                     any<std::uint32_t>(),
                                     any<std::uint32_t>(),
                                     any<std::uint32_t>(),
                                     any<std::uint32_t>(),
                                     core::UpstreamState(*gen::inRange(0, 4)),
                                     wired::anyDuration()};
        });
    }
};

template <>
struct Arbitrary<core::CrashNotice>
{
    static auto arbitrary() -> Gen<core::CrashNotice>
    {
        return gen::exec([] {
            using wired::any;
            return core::CrashNotice{any<std::uint64_t>(),
                                     {any<std::uint64_t>(), any<std::uint64_t>()},
                                     any<std::uint32_t>(),
                                     wired::anyDuration()};
        });
    }
};

template <>
struct Arbitrary<core::PoolSum>
{
    static auto arbitrary() -> Gen<core::PoolSum>
    {
        return gen::exec([] {
            using wired::any;
            return core::PoolSum{any<std::uint64_t>(), any<std::uint64_t>(), any<std::uint32_t>(),
                                 any<std::uint32_t>(), any<std::uint32_t>(), any<std::uint32_t>(),
                                 wired::anyDuration()};
        });
    }
};

template <>
struct Arbitrary<core::Digest>
{
    static auto arbitrary() -> Gen<core::Digest>
    {
        return gen::exec([] {
            const auto few = [](auto element) {
                return *gen::resize(12,
                                    gen::container<std::vector<decltype(element)>>(
                                        gen::arbitrary<decltype(element)>()));
            };
            return core::Digest{wired::any<std::uint64_t>(), few(core::DigestEntry()),
                                few(core::PoolSum()), few(core::CrashNotice()), wired::any<bool>()};
        });
    }
};

template <>
struct Arbitrary<core::Message>
{
    static auto submit() -> core::Message
    {
        using wired::any;
        using wired::anyText;
        core::Submit submit;
        submit.request = anyText();
        submit.attempt = any<std::uint32_t>();
        submit.target = any<std::uint64_t>();
        submit.notAfter = wired::anyInstant();
        submit.terms = {anyText(),
                        anyText(),
                        anyText(),
                        anyText(),
                        any<std::uint64_t>(),
                        any<std::uint64_t>(),
                        *gen::inRange(0, 10),
                        anyText(),
                        any<bool>(),
                        any<bool>()};
        submit.call = {anyText(), anyText(), any<core::Headers>(), wired::anyShared(), any<bool>()};
        submit.movedFrom = any<std::uint64_t>();
        submit.mayWait = any<bool>();
        submit.loads = any<std::vector<core::DigestEntry>>();
        return submit;
    }

    static auto refusal() -> core::Message
    {
        using wired::any;
        core::Refusal refusal;
        refusal.request = wired::anyText();
        refusal.attempt = any<std::uint32_t>();
        refusal.failure.kind =
            core::ErrorKind(*gen::inRange(1, static_cast<int>(core::ErrorKind::Internal) + 1));
        refusal.failure.run = core::Run(*gen::inRange(0, 3));
        refusal.failure.detail = wired::anyText();
        if (any<bool>())
            refusal.failure.retryAfter = wired::anyDuration();
        refusal.redirect = any<std::uint64_t>();
        refusal.loads = any<std::vector<core::DigestEntry>>();
        return refusal;
    }

    static auto settingsReply() -> core::Message
    {
        core::SettingsReply reply;
        reply.index = wired::any<std::uint64_t>();
        const auto count = *gen::inRange(0, 4);
        for (int i = 0; i < count; ++i)
            reply.texts.push_back(
                {wired::anyText(), wired::any<std::uint64_t>(), wired::anyShared()});
        return reply;
    }

    static auto plain(std::size_t kind) -> core::Message
    {
        using wired::any;
        using wired::anyText;
        using Index = std::uint64_t;
        switch (kind) {
        case 0:
            return core::Revoke{anyText(), any<std::uint32_t>(), any<std::uint64_t>()};
        case 1:
            return core::Resume{anyText(), anyText(), any<Index>()};
        case 2:
            return core::Acknowledge{anyText(), any<Index>(), any<bool>()};
        case 3:
            return core::Heartbeat{any<Index>(), wired::anyInstant()};
        case 4:
            return core::Head{
                anyText(),   any<std::uint32_t>(), *gen::inRange(100, 600), any<core::Headers>(),
                any<bool>(), any<bool>()};
        case 5:
            return core::Chunk{anyText(), any<Index>(), anyText()};
        case 6:
            return core::End{anyText(), any<Index>(), any<Index>(),
                             any<std::vector<core::DigestEntry>>()};
        case 7:
            return core::Revoked{anyText(), any<std::uint32_t>(), core::Run(*gen::inRange(0, 3))};
        case 8:
            return core::Moved{any<Index>(), any<Index>()};
        default:
            return core::SettingsPull{any<std::map<std::string, Index>>(), any<bool>(),
                                      any<Index>(), any<Index>()};
        }
    }

    static auto arbitrary() -> Gen<core::Message>
    {
        return gen::exec([] {
            const auto kind = *gen::inRange<std::size_t>(0, std::variant_size_v<core::Message>);
            switch (kind) {
            case 10:
                return submit();
            case 11:
                return refusal();
            case 12:
                return settingsReply();
            default:
                return plain(kind);
            }
        });
    }
};

} // namespace rc
