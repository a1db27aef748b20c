// Requests that may run only once: keys bound to an upstream by hash, and tickets.
#include "applehatch/core/placement.h"
#include "applehatch/core/run-once.h"
#include "applehatch/core/token.h"

#include "router-state.h"

namespace applehatch::core {

namespace {

auto poolName(const Terms &terms) -> std::string
{
    return terms.team + '/' + terms.pool;
}

} // namespace

auto RouterNode::State::bindRunOnce(const std::string &ticket, Exchange &exchange)
    -> std::optional<Failure>
{
    if (!ticket.empty())
        return bindTicket(ticket, exchange);
    if (!exchange.terms.runOnce)
        return std::nullopt;
    // Copies of a request may arrive at routers that consider different members live, so only the
    // configured members decide which upstream owns a key.
    auto terms = exchange.terms;
    if (terms.idempotencyKey.empty())
        terms.idempotencyKey = exchange.request;
    const auto order = rendezvousOrder(*exchange.pool.pool, runOnceHash(terms), 1);
    if (order.empty())
        return Failure{ErrorKind::NoUpstream, Run::NotRun, "the pool is empty", std::nullopt};
    exchange.boundTo = order.front();
    exchange.cause = "key";
    return std::nullopt;
}

auto RouterNode::State::bindTicket(const std::string &text, Exchange &exchange)
    -> std::optional<Failure>
{
    const auto ticket = parseTicket(text);
    if (!ticket || ticket->pool != poolName(exchange.terms))
        return Failure{ErrorKind::BadRequest, Run::NotRun, "the ticket is not for this pool",
                       std::nullopt};
    if (exchange.pool.member(ticket->target.upstream) == nullptr)
        return Failure{ErrorKind::OutcomeUnknown, Run::Unknown,
                       "the ticket's upstream is no longer configured", std::nullopt};
    exchange.terms.runOnce = true;
    exchange.terms.idempotencyKey = ticketKey(*ticket);
    exchange.boundTo = ticket->target.upstream;
    exchange.boundIncarnation = ticket->target.incarnation;
    exchange.expires = ticket->expires;
    exchange.cause = "ticket";
    return std::nullopt;
}

auto RouterNode::State::on(TicketRequest &event) -> void
{
    Exchange exchange;
    exchange.request = event.request;
    exchange.origin = event.request;
    exchange.kind = ExchangeKind::Ticket;
    exchange.terms.team = event.team;
    exchange.terms.customer = event.customer;
    exchange.terms.pool = event.pool;
    const auto refuse = [&](ErrorKind kind) {
        const auto wait = answerFor(kind).mayRepeat
            ? std::optional<Duration>(limits::defaultRetryAfter)
            : std::nullopt;
        fail(exchange, {kind, Run::NotRun, "", wait});
    };
    if (exchanges_.contains(event.request))
        return;
    if (draining_ || !settings_) {
        refuse(draining_ ? ErrorKind::Draining : ErrorKind::NotReady);
        return;
    }
    auto found = findPool(*settings_, exchange.terms, "");
    if (auto *failure = std::get_if<Failure>(&found)) {
        fail(exchange, std::move(*failure));
        return;
    }
    exchange.pool = std::get<PoolRef>(std::move(found));
    exchange.terms.pool = exchange.pool.pool->name;
    exchange.deadline = now_ + limits::ticketTimeout;
    start(std::move(exchange));
}

auto RouterNode::State::giveTicket(Exchange &exchange, const Link &link) -> void
{
    const auto lifetime = exchange.pool.pool->resendWindow;
    const Ticket ticket{{exchange.upstream, link.incarnation},
                        poolName(exchange.terms),
                        random_(),
                        link.onSidecarClock(now_) + lifetime};
    actions_.emplace_back(AnswerTicket{exchange.request, formatTicket(ticket), lifetime});
    erase(exchange);
}

} // namespace applehatch::core
