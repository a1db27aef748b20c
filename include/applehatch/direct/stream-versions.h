/// Decides at which version of an upstream's software a stream may go on.
#pragma once

#include "applehatch/core/expiring-map.h"
#include "applehatch/direct/directory.h"
#include "applehatch/direct/version-choice.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::direct {

/// Returns the key of the stream that `requestId`, sent by `customer`, began. The customer is part
/// of it, so that nobody finds the stream of another customer.
[[nodiscard]] auto streamKey(std::string_view customer, std::string_view requestId) -> StreamKey;

/// The software that began a stream. What two versions write does not fit together, so the stream
/// goes on at upstreams of this service and version only.
struct StreamOrigin
{
    std::string service;
    std::string version;

    auto operator==(const StreamOrigin &) const -> bool = default;
};

/// Tells a peer which software began a stream.
struct StreamReport
{
    StreamKey stream = 0;
    StreamOrigin origin;
    Duration age{0}; ///< Time since the stream was last sent to an upstream.

    auto operator==(const StreamReport &) const -> bool = default;
};

/// What is known of a stream.
struct KnownStream
{
    StreamOrigin origin;
    Instant sentAt;   ///< When it was last sent to an upstream.
    bool own = false; ///< Sent by this router, not learned from a peer.
};

/// Where a stream that a caller takes up may go on.
enum class ResumeRule {
    AnyVersion,
    ConfirmFirst, ///< At any version if no other has joined unheard; to be decided again then.
    AtOrigin,     ///< Only at the version that began it.
    AskKeepers,   ///< The routers that keep it may know its origin.
    Refuse,       ///< Its version cannot be known.
};

/// A service of which several versions serve, or did a while ago.
struct MixedService
{
    std::uint64_t service = 0; ///< Its `StreamVersions::serviceKey`.
    Duration left{0};          ///< For how long it goes on to count if no further version comes.

    auto operator==(const MixedService &) const -> bool = default;
};

/// Which versions serve, and at which of them streams began that may still be taken up.
///
/// While one version of a service serves, this router records its own streams only. While several
/// do, the routers that keep a stream are told of it when it is sent, so that it outlives the
/// router that serves it.
///
/// One known version proves nothing to a router that may have missed another: before it began, or
/// since its last word of the registry. So a router knows since when it has been told of each
/// version that served, from its own list, from the registry's history or from a peer that has run
/// for longer. A stream that may have begun before that goes on nowhere until its version is found.
/// That no other version has joined since is confirmed after the stream was taken up, never before.
/// While several versions serve, `VersionChoice` finds that of most streams that no router knows.
class StreamVersions
{
public:
    /// How long after its last attempt a stream may be taken up, and how long a version that serves
    /// no more may have begun such a stream.
    static constexpr Duration lifetime = std::chrono::minutes(2);
    /// The same for a stream that was sent to its caller whole.
    static constexpr Duration completedLifetime = std::chrono::seconds(5);
    static constexpr std::size_t capacity = 32768;
    static constexpr std::size_t maxServices = 1024;
    /// A peer that does not tell for how long a service counts as having several versions is
    /// believed for this long.
    static constexpr Duration peerWordLifetime = std::chrono::seconds(5);

    /// Replaces the upstreams. Returns the services that have several versions from now on.
    auto setUpstreams(const UpstreamList &upstreams, Instant now) -> std::vector<std::string>;
    /// Records that an upstream of this service and version has served until now at the latest.
    auto noteServed(const StreamOrigin &origin, Instant now) -> void;
    /// Records that every version that has served since `since` is recorded.
    auto noteKnownSince(Instant since) -> void;
    /// The same for a time before that, for which a peer recorded them, with all services that it
    /// knows to be mixed. Returns whether that is much more than was known.
    auto notePeerKnownSince(Instant since) -> bool;
    /// How far back this router itself knows each version that served, at most `lifetime`.
    [[nodiscard]] auto ownKnowledge(Instant now) const -> Duration;
    /// The same with what peers know.
    [[nodiscard]] auto knowledge(Instant now) const -> Duration;
    /// Records that a peer knows of several versions of a service.
    auto notePeerMixed(MixedService mixed, Instant now) -> void;
    /// Whether upstreams of several versions of the service serve, or did so within `lifetime`.
    [[nodiscard]] auto isMixed(const std::string &service, Instant now) const -> bool;
    /// The services that are mixed by this router's own list.
    [[nodiscard]] auto mixedServices(Instant now) const -> std::vector<std::string>;
    /// The same as peers are told.
    [[nodiscard]] auto mixedReports(Instant now) const -> std::vector<MixedService>;
    [[nodiscard]] static auto serviceKey(std::string_view service) -> std::uint64_t;
    /// The versions of the service that serve, or did so within `lifetime`, for the log.
    [[nodiscard]] auto versionsOf(const std::string &service, Instant now) const
        -> std::vector<std::string>;

    /// Records that this router sent the stream to an upstream. Returns whether its keepers must
    /// be told.
    auto noteSent(StreamKey stream, const StreamOrigin &origin, Instant now) -> bool;
    /// Records that the stream was sent to its caller whole. Unless its end is lost on the way,
    /// nobody takes it up.
    auto noteCompleted(StreamKey stream, Instant now) -> void;
    /// Records a peer's report unless something newer is known.
    auto notePeer(const StreamReport &report, Instant now) -> void;
    /// Returns what a peer is told of the stream; none if it is not known.
    [[nodiscard]] auto report(StreamKey stream, Instant now) const -> std::optional<StreamReport>;
    /// Returns what is known of the streams that this router sent to a service.
    [[nodiscard]] auto ownReports(const std::string &service, Instant now) const
        -> std::vector<StreamReport>;
    [[nodiscard]] auto find(StreamKey stream, Instant now) const -> const KnownStream *
    {
        return streams_.find(stream, now);
    }

    /// Decides for a stream of the service that is taken up; `stream` is 0 if the caller does not
    /// name the request that began it. `isConfirmed` tells that all versions that had joined when
    /// the stream was taken up are recorded, and `maxAge` how long ago it may have begun.
    [[nodiscard]] auto decide(StreamKey stream, const std::string &service, bool isConfirmed,
                              Instant now, Duration maxAge) const -> ResumeRule;

    /// The lists of upstreams, from which the version of a stream follows.
    [[nodiscard]] auto choice() -> VersionChoice & { return choice_; }
    /// Returns the version at which a stream has to begin; none if any will do.
    [[nodiscard]] auto versionFor(const std::string &service, StreamKey stream, Instant now) const
        -> std::optional<std::string>;
    /// Returns the only version at which a stream that nobody knows can have begun within `maxAge`;
    /// none if there are several, or if that is not known.
    [[nodiscard]] auto versionOf(const std::string &service, StreamKey stream, Instant now,
                                 Duration maxAge) const -> std::optional<std::string>;

    /// Drops what is too old, at most some of it in each call.
    auto expire(Instant now) -> void;

private:
    /// When each version of a service was last in the list; none if it is in it now.
    using Versions = std::map<std::string, std::optional<Instant>>;

    [[nodiscard]] auto isMixedByList(const std::string &service, Instant now) const -> bool;

    std::map<std::string, Versions> versions_; // By service.
    VersionChoice choice_;
    std::optional<Instant> knownSince_; // None before the first list.
    std::optional<Instant> peersKnowSince_;
    core::ExpiringMap<bool> mixedByPeers_{maxServices}; // By `serviceKey`.
    core::ExpiringMap<KnownStream> streams_{capacity};
};

} // namespace applehatch::direct
