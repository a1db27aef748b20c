#include "applehatch/gateway/keeper-outbox.h"

#include "applehatch/direct/keepers.h"

#include <string>
#include <utility>

namespace applehatch::gateway {

namespace {

// Sorts notes into datagrams for their keepers.
class Sorter
{
public:
    explicit Sorter(const std::vector<Address> &routers)
        : choice_(routers)
    { }

    // Calls `add` with a datagram for each keeper of `key`.
    template <typename Add>
    auto addFor(std::uint64_t key, Add add) -> void
    {
        for (const auto &keeper : choice_.keepersOf(key)) {
            auto &[notes, count] = open_[keeper.ip + ':' + std::to_string(keeper.port)];
            notes.to = keeper;
            add(notes);
            if (++count == KeeperOutbox::maxNotes) {
                full_.push_back(std::move(notes));
                notes = {};
                count = 0;
            }
        }
    }

    auto take() -> std::vector<AddressedNotes>
    {
        for (auto &[key, open] : open_) {
            if (open.second > 0)
                full_.push_back(std::move(open.first));
        }
        return std::move(full_);
    }

private:
    direct::KeeperChoice choice_;
    std::map<std::string, std::pair<AddressedNotes, std::size_t>> open_; // With the notes' number.
    std::vector<AddressedNotes> full_;
};

} // namespace

auto KeeperOutbox::take(const std::vector<Address> &routers, Instant now)
    -> std::vector<AddressedNotes>
{
    Sorter sorter(routers);
    for (const auto &added : std::exchange(crashes_, {})) {
        auto report = added.report;
        report.age += now - added.at;
        sorter.addFor(report.fingerprint,
                      [&](AddressedNotes &notes) { notes.crashes.push_back(report); });
    }
    for (const auto &added : std::exchange(streams_, {})) {
        auto report = added.report;
        report.age += now - added.at;
        sorter.addFor(report.stream,
                      [&](AddressedNotes &notes) { notes.streams.push_back(report); });
    }
    for (const auto &added : std::exchange(parts_, {})) {
        const auto report = direct::delayed(added.report, now - added.at);
        sorter.addFor(report.part, [&](AddressedNotes &notes) { notes.parts.push_back(report); });
    }
    return sorter.take();
}

} // namespace applehatch::gateway
