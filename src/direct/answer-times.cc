#include "applehatch/direct/answer-times.h"

#include <algorithm>
#include <iterator>

namespace applehatch::direct {

auto AnswerTimes::noteBegun(const std::string &route, const std::string &service, Instant at)
    -> void
{
    routes_[route].running.insert(at);
    services_[service].running.insert(at);
}

auto AnswerTimes::noteEnded(const std::string &route, const std::string &service, Instant at,
                            bool isWhole, Instant now) -> void
{
    end(routes_[route], at, isWhole, now);
    end(services_[service], at, isWhole, now);
}

auto AnswerTimes::end(Row &row, Instant begunAt, bool isWhole, Instant now) -> void
{
    const auto running = row.running.find(begunAt);
    if (running != row.running.end())
        row.running.erase(running);
    if (!isWhole)
        return;
    row.ended.push_back({now, now - begunAt});
    if (row.ended.size() > maxKept)
        row.ended.pop_front();
}

auto AnswerTimes::longerThan(const std::string &route, const std::string &service, Duration limit,
                             Instant now, std::size_t latest) const -> LongerShare
{
    const auto ofRoute = count(routes_, route, limit, now, latest);
    return ofRoute.known >= minKnown ? ofRoute : count(services_, service, limit, now, latest);
}

auto AnswerTimes::count(const Rows &rows, const std::string &name, Duration limit, Instant now,
                        std::size_t latest) -> LongerShare
{
    const auto row = rows.find(name);
    if (row == rows.end())
        return {};
    const auto &[ended, running] = row->second;
    LongerShare share;
    share.longer =
        static_cast<std::size_t>(std::distance(running.begin(), running.lower_bound(now - limit)));
    share.known = share.longer;
    const auto counted = std::min(latest, ended.size());
    std::for_each(ended.end() - static_cast<std::ptrdiff_t>(counted), ended.end(),
                  [&](const Ended &each) {
                      if (now - each.at > memory)
                          return;
                      ++share.known;
                      share.longer += each.took > limit ? 1 : 0;
                  });
    return share;
}

auto AnswerTimes::expire(Instant now) -> void
{
    expire(routes_, now);
    expire(services_, now);
}

auto AnswerTimes::expire(Rows &rows, Instant now) -> void
{
    for (auto &[name, row] : rows) {
        while (!row.ended.empty() && now - row.ended.front().at > memory)
            row.ended.pop_front();
    }
    std::erase_if(rows, [](const auto &entry) {
        return entry.second.ended.empty() && entry.second.running.empty();
    });
}

} // namespace applehatch::direct
