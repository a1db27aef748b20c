#include "applehatch/direct/answer-forecast.h"

#include "applehatch/core/log-line.h"

#include <bit>

namespace applehatch::direct {

namespace {

// Upstreams may slow down by this factor while other routers and upstreams are replaced.
constexpr double slowdownMargin = 1.5;
// What the answer's way back takes, besides.
constexpr Duration answerMargin = std::chrono::milliseconds(100);

auto nameOf(const AnswerKind &kind) -> std::string
{
    if (!kind.isStream)
        return kind.route;
    return kind.route + " tokens<2^" + std::to_string(std::bit_width(kind.maxTokens));
}

auto isMoreThan(const LongerShare &share, double tolerated) -> bool
{
    return static_cast<double>(share.longer) > tolerated * static_cast<double>(share.known);
}

} // namespace

auto tookLongerText(Duration left, const LongerShare &longer) -> std::string
{
    return core::millisecondsText(left) + " left, " + std::to_string(longer.longer) + " of "
        + std::to_string(longer.known) + " known took longer";
}

auto AnswerForecast::noteBegun(const AnswerKind &kind, Instant at) -> void
{
    times_.noteBegun(nameOf(kind), kind.service, at);
}

auto AnswerForecast::noteEnded(const AnswerKind &kind, Instant at, bool isWhole, Instant now)
    -> void
{
    times_.noteEnded(nameOf(kind), kind.service, at, isWhole, now);
}

auto AnswerForecast::noteStream(std::uint32_t maxTokens, Duration duration) -> void
{
    pace_.noteStream(maxTokens, duration);
}

auto AnswerForecast::longerThan(const AnswerKind &kind, Duration limit, Instant now) const
    -> LongerShare
{
    return times_.longerThan(nameOf(kind), kind.service, limit, now);
}

auto AnswerForecast::whyNotWithin(const AnswerKind &kind, Duration left, double toleratedShare,
                                  Instant now) const -> std::optional<std::string>
{
    const auto usable =
        std::chrono::duration_cast<Duration>((left - answerMargin) / slowdownMargin);
    const auto longer = longerThan(kind, usable, now);
    if (longer.known < AnswerTimes::minKnown) {
        if (!kind.isStream || longer.longer > 0)
            return tookLongerText(left, longer);
        if (pace_.endsWithin(kind.maxTokens, left))
            return std::nullopt;
        return core::millisecondsText(left) + " left for " + std::to_string(kind.maxTokens)
            + " tokens";
    }
    if (isMoreThan(longer, toleratedShare))
        return tookLongerText(left, longer);
    const auto lately = times_.longerThan(nameOf(kind), kind.service, usable, now, latestAnswers);
    if (lately.longer >= slowAnswers && isMoreThan(lately, toleratedShare))
        return tookLongerText(left, lately);
    return std::nullopt;
}

} // namespace applehatch::direct
