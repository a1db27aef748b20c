#include "router-body.h"

#include <xxhash.h>

#include <new>
#include <utility>

namespace applehatch::core {

BodyHash::BodyHash()
    : state_(XXH3_createState())
{
    if (!state_)
        throw std::bad_alloc();
    XXH3_64bits_reset(state_.get());
}

auto BodyHash::Free::operator()(XXH3_state_s *state) const -> void
{
    XXH3_freeState(state);
}

auto BodyHash::append(std::string_view data) -> void
{
    XXH3_64bits_update(state_.get(), data.data(), data.size());
}

auto BodyHash::value() const -> std::uint64_t
{
    return XXH3_64bits_digest(state_.get());
}

auto EventSplitter::endLine() -> void
{
    eventEnded_ = lineEmpty_;
    lineEmpty_ = true;
}

auto EventSplitter::append(std::string_view data) -> std::vector<std::string>
{
    std::vector<std::string> events;
    const auto emit = [&] {
        events.push_back(std::exchange(partial_, {}));
        eventEnded_ = false;
    };
    for (const auto c : data) {
        // A line may end in CR, LF or CR LF. After a CR the event ends only once the next byte is
        // known, so that an event is never cut between CR and LF.
        const auto secondOfPair = afterReturn_ && c == '\n';
        if (eventEnded_ && !secondOfPair)
            emit();
        afterReturn_ = c == '\r';
        partial_ += c;
        if (c == '\r' || (c == '\n' && !secondOfPair))
            endLine();
        else if (c != '\n')
            lineEmpty_ = false;
        if (eventEnded_ && c == '\n')
            emit();
    }
    return events;
}

auto EventSplitter::takeRest() -> std::string
{
    lineEmpty_ = true;
    afterReturn_ = false;
    eventEnded_ = false;
    return std::exchange(partial_, {});
}

} // namespace applehatch::core
