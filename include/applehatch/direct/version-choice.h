/// Chooses at which version of a service a stream begins, so that any router finds it out again.
#pragma once

#include "applehatch/direct/directory.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace applehatch::direct {

/// Identifies a stream by the request whose answer brought its first event; 0 is none.
using StreamKey = std::uint64_t;

/// Chooses the version for a stream by its key and the list of upstreams alone.
///
/// What routers remember of streams is lost with them. While several versions of a service serve, a
/// stream therefore begins only at the version of its owner, which follows from the list: of the
/// upstreams that may own it, the one with the highest rendezvous hash for the stream. A router
/// that has just begun goes through all lists that stood while the stream may have begun; if their
/// owners are of one version, it began there.
///
/// The registry tells in which order lists followed each other, and not when. So a version that has
/// joined makes all streams uncertain that it might own. For this reason the upstreams of the
/// leading version may own any stream, and each other upstream only one in `minorShare`: most
/// streams stay certain, while no upstream goes without. The leading version is the one with most
/// upstreams, or else the one whose entries are older.
class VersionChoice
{
public:
    /// For how long upstreams that left, and lists, are remembered.
    static constexpr Duration lifetime = std::chrono::minutes(2);
    /// Maximum number of upstreams that left, and of lists, that are remembered.
    static constexpr std::size_t capacity = 8192;
    static constexpr std::uint64_t minorShare = 3;

    /// A range of the registry's revisions.
    struct Span
    {
        std::uint64_t from = 0;
        std::uint64_t end = std::numeric_limits<std::uint64_t>::max(); ///< Not included.
    };

    /// Replaces the upstreams; the list is as of `revision`.
    auto setUpstreams(const UpstreamList &upstreams, std::uint64_t revision, Instant now) -> void;
    /// Records an upstream that took requests while the lists of a span stood, which this router
    /// did not see.
    auto noteServed(const Upstream &upstream, Span span, Instant now) -> void;
    /// The same for one that may have taken requests then, or not.
    auto notePossible(const Upstream &upstream, Span span, Instant now) -> void;
    /// The same for one of which nothing but its name is known.
    auto noteUnknown(const std::string &instance, Span span, Instant now) -> void;
    /// Records that all lists since `since`, when that of `revision` stood, are recorded.
    auto noteKnownSince(Instant since, std::uint64_t revision) -> void;

    /// Returns the version at which a stream begins now; none if no upstream takes requests.
    [[nodiscard]] auto versionFor(const std::string &service, StreamKey stream) const
        -> std::optional<std::string>;
    /// Returns the only version at which a stream can have begun at `since` or later; none if there
    /// are several, or if that is not known.
    [[nodiscard]] auto versionOf(const std::string &service, StreamKey stream, Instant since) const
        -> std::optional<std::string>;

    /// Drops what is too old.
    auto expire(Instant now) -> void;

private:
    /// An upstream that takes, or took, new requests while the lists of a span stood.
    struct Member
    {
        std::uint64_t name = 0;             ///< Hash of its instance.
        std::optional<std::string> version; ///< None if only its name is known.
        Span span;
        bool isCertain = true; ///< Whether it took requests then for sure.
    };
    struct Former
    {
        Member member;
        std::optional<std::string> service; ///< None if only its name is known.
        Instant notedAt;
    };
    struct List
    {
        Instant at;
        std::uint64_t revision = 0;
    };
    /// The leading version from a revision on; none if it is not known.
    struct Lead
    {
        std::uint64_t from = 0;
        std::optional<std::string> version;
    };
    /// The lists in which a member owned a stream, unless one that ranks higher did.
    struct Claim
    {
        Span span;
        bool isCertain = true;
    };
    using Members = std::vector<Member>;
    /// The list of a service now.
    struct Service
    {
        Members members;
        std::optional<std::string> leader;
    };

    auto noteFormer(const Upstream &upstream, Span span, bool isCertain, Instant now) -> void;
    auto remember(const Former &former) -> void;
    /// Returns the revision of the list that stood at `since`; none if it is not known.
    [[nodiscard]] auto revisionAt(Instant since) const -> std::optional<std::uint64_t>;
    /// Returns all that are known to have taken requests of the service.
    [[nodiscard]] auto membersOf(const std::string &service) const -> Members;
    [[nodiscard]] auto leadsOf(const std::string &service) const -> const std::vector<Lead> &;
    [[nodiscard]] static auto claimsOf(const Member &member, std::uint64_t rank,
                                       const std::vector<Lead> &leads) -> std::vector<Claim>;

    std::map<std::string, Service> services_;
    std::deque<Former> former_; // In the order in which they were noted.
    /// What `leadsOf` found since the last change, by service.
    mutable std::map<std::string, std::vector<Lead>> leads_;
    std::deque<List> lists_; // Oldest first.
    std::optional<List> knownSince_;
};

} // namespace applehatch::direct
