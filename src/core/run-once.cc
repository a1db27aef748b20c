#include "applehatch/core/run-once.h"

#include <charconv>
#include <string_view>

namespace applehatch::core {

namespace {

constexpr std::string_view ticketPrefix = "\x01ticket.";
constexpr char separator = '.';

} // namespace

auto ticketKey(const Ticket &ticket) -> std::string
{
    const auto expires = ticket.expires.time_since_epoch().count();
    return std::string(ticketPrefix) + std::to_string(ticket.nonce) + separator
        + std::to_string(expires);
}

auto ticketKeyExpiry(const std::string &key) -> std::optional<Instant>
{
    if (!key.starts_with(ticketPrefix))
        return std::nullopt;
    const auto *last = key.data() + key.size();
    Duration::rep expires = 0;
    const auto result = std::from_chars(key.data() + key.rfind(separator) + 1, last, expires);
    if (result.ec != std::errc() || result.ptr != last)
        return std::nullopt;
    return Instant(Duration(expires));
}

auto runOnceHash(const Terms &terms) -> std::uint64_t
{
    const auto scope = terms.team + '/' + terms.pool + '/' + terms.customer;
    return stableHash(terms.idempotencyKey, stableHash(scope));
}

} // namespace applehatch::core
