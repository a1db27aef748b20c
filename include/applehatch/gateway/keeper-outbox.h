/// What is to be told to the routers that keep it.
#pragma once

#include "applehatch/gateway/peer-digest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace applehatch::gateway {

using core::Instant;

/// Notes for one router, sent in one datagram.
struct AddressedNotes
{
    Address to;
    std::vector<direct::CrashReport> crashes;
    std::vector<direct::StreamReport> streams;
    std::vector<direct::PartReport> parts;
};

/// Collects what this router has just learned until it is sent to its keepers.
///
/// Digests go to some routers at a time and have room for few reports. What must be known elsewhere
/// soon, however much there is of it, goes to a few routers chosen by its key: crashes of one
/// request that different routers saw meet there, and what began a stream is found there after its
/// router ended.
class KeeperOutbox
{
public:
    /// Maximum number of notes in a datagram, so that it fits one packet.
    static constexpr std::size_t maxNotes = 40;

    auto add(const direct::CrashReport &report, Instant now) -> void
    {
        crashes_.push_back({report, now});
    }
    auto add(const direct::StreamReport &report, Instant now) -> void
    {
        streams_.push_back({report, now});
    }
    auto add(const direct::PartReport &report, Instant now) -> void
    {
        parts_.push_back({report, now});
    }
    [[nodiscard]] auto isEmpty() const -> bool
    {
        return crashes_.empty() && streams_.empty() && parts_.empty();
    }
    /// Empties the outbox; returns its contents by the routers, among `routers`, that keep them.
    [[nodiscard]] auto take(const std::vector<Address> &routers, Instant now)
        -> std::vector<AddressedNotes>;

private:
    template <typename Report>
    struct Added
    {
        Report report;
        Instant at;
    };

    std::vector<Added<direct::CrashReport>> crashes_;
    std::vector<Added<direct::StreamReport>> streams_;
    std::vector<Added<direct::PartReport>> parts_;
};

} // namespace applehatch::gateway
