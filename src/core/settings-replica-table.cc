#include "settings-replica-table.h"

#include <algorithm>
#include <set>

namespace applehatch::core {

SubtreeTable::SubtreeTable(ParseHook parse)
    : parse_(std::move(parse))
{ }

auto SubtreeTable::offer(const SettingsText &text, Instant now) -> OfferResult
{
    auto &subtree = subtrees_[text.team];
    if (text.index <= subtree.inForce || text.index == subtree.refused) {
        return OfferResult::Known;
    }
    if (text.text == nullptr) {
        accept(subtree, text, nullptr, now);
        return OfferResult::Removed;
    }
    auto parsed = parse_(text.team, *text.text, text.index);
    if (parsed.team != nullptr) {
        accept(subtree, text, std::move(parsed.team), now);
        return OfferResult::Accepted;
    }
    if (text.index < subtree.refused) {
        return OfferResult::Known;
    }
    subtree.refused = text.index;
    subtree.refusedText = text.text;
    subtree.problems = std::move(parsed.problems);
    return OfferResult::Refused;
}

auto SubtreeTable::accept(Subtree &subtree, const SettingsText &text,
                          std::shared_ptr<const settings::Team> team, Instant now) -> void
{
    subtree.inForce = text.index;
    subtree.since = now;
    subtree.text = text.text;
    subtree.team = std::move(team);
    if (subtree.refused < text.index) {
        subtree.refused = 0;
        subtree.refusedText = nullptr;
        subtree.problems.clear();
    }
}

/// A read that is not newer than the index of this table proves no removal: the subtree may have
/// been created after the read.
auto SubtreeTable::removedBy(const SettingsRead &read) const -> std::vector<SettingsText>
{
    std::vector<SettingsText> removed;
    if (read.index <= index_) {
        return removed;
    }
    std::set<std::string> present;
    for (const auto &text : read.texts) {
        present.insert(text.team);
    }
    for (const auto &[team, subtree] : subtrees_) {
        const auto stored = subtree.text != nullptr || subtree.refused != 0;
        if (stored && present.count(team) == 0
            && read.index > std::max(subtree.inForce, subtree.refused)) {
            removed.push_back({team, read.index, nullptr});
        }
    }
    return removed;
}

auto SubtreeTable::completeUpTo(SettingsIndex index) -> void
{
    index_ = std::max(index_, index);
}

auto SubtreeTable::indices(bool acceptedOnly) const -> std::map<std::string, SettingsIndex>
{
    std::map<std::string, SettingsIndex> indices;
    for (const auto &[team, subtree] : subtrees_) {
        const auto refused = acceptedOnly ? 0 : subtree.refused;
        indices.emplace(team, std::max(subtree.inForce, refused));
    }
    return indices;
}

auto SubtreeTable::hash() const -> std::uint64_t
{
    std::uint64_t sum = 0;
    for (const auto &[team, subtree] : subtrees_) {
        sum += stableHash(team, std::max(subtree.inForce, subtree.refused));
    }
    return sum;
}

/// Refused texts are included while they fit, so that every process can show the reasons. They
/// never make the answer incomplete, as the requesting process could not put them in force.
auto SubtreeTable::answer(const SettingsPull &pull, std::size_t limit) const -> SettingsReply
{
    SettingsReply reply{index_, {}};
    reply.differs = pull.brief && pull.since >= index_ && pull.hash != hash();
    std::size_t bytes = 0;
    const auto fits = [&](const std::shared_ptr<const std::string> &text) {
        bytes += text == nullptr ? 0 : text->size();
        return reply.texts.empty() || bytes <= limit;
    };
    const auto knownIndex = [&pull](const std::string &team) {
        if (pull.brief) {
            return pull.since;
        }
        const auto known = pull.knownIndices.find(team);
        return known == pull.knownIndices.end() ? 0 : known->second;
    };
    for (const auto &[team, subtree] : subtrees_) {
        if (subtree.inForce <= knownIndex(team)) {
            continue;
        }
        if (!fits(subtree.text)) {
            reply.index = 0;
            return reply;
        }
        reply.texts.push_back({team, subtree.inForce, subtree.text});
    }
    for (const auto &[team, subtree] : subtrees_) {
        if (subtree.refused > knownIndex(team) && fits(subtree.refusedText)) {
            reply.texts.push_back({team, subtree.refused, subtree.refusedText});
        }
    }
    return reply;
}

auto SubtreeTable::anyRefused() const -> bool
{
    return std::any_of(subtrees_.begin(), subtrees_.end(),
                       [](const auto &entry) { return entry.second.refused != 0; });
}

auto SubtreeTable::find(const std::string &team) const -> SubtreeStatus
{
    const auto found = subtrees_.find(team);
    if (found == subtrees_.end()) {
        return {team, 0, {}, 0, {}};
    }
    const auto &subtree = found->second;
    return {team, subtree.inForce, subtree.since, subtree.refused, subtree.problems};
}

auto SubtreeTable::status() const -> std::vector<SubtreeStatus>
{
    std::vector<SubtreeStatus> status;
    for (const auto &[team, subtree] : subtrees_) {
        if (subtree.text != nullptr || subtree.refused != 0) {
            status.push_back(find(team));
        }
    }
    return status;
}

auto SubtreeTable::snapshot() const -> SettingsPtr
{
    auto settings = std::make_shared<settings::Settings>();
    settings->index = index_;
    for (const auto &[team, subtree] : subtrees_) {
        if (subtree.team != nullptr) {
            settings->teams.emplace(team, subtree.team);
        }
    }
    return settings;
}

} // namespace applehatch::core
